/**
 * Tests that are known to fail, as listed in `KNOWN-RED.txt`.
 *
 * An entry is a block of `name: text` lines; empty lines separate the blocks.
 *
 * @module
 */

/** Entry for a test that is known to fail. */
export interface KnownRed {
  /** Name of the test. */
  readonly test: string;
  /** Text of the whole entry, for printing. */
  readonly text: string;
}

/** Result of comparing the failures of a run with the list. */
export interface FailureReport {
  /** Failed tests that are not listed; any makes the run fail. */
  readonly unexpected: readonly string[];
  /** Listed tests that failed. */
  readonly expected: readonly KnownRed[];
  /** Listed tests that did not fail; their entries have to be removed. */
  readonly fixed: readonly KnownRed[];
}

const TEST_LINE = /^test: (.+)$/m;

/** Parses the list; throws when an entry has no test line. */
export function parseKnownRed(text: string): readonly KnownRed[] {
  return text.split(/\n\s*\n/)
    .map((block) => block.trim())
    .filter((block) => block !== "")
    .map((block) => {
      const test = TEST_LINE.exec(block)?.[1];
      if (!test) throw new Error(`Entry has no line "test: NAME":\n${block}`);
      return { test: test.trim(), text: block };
    });
}

/** Compares the failed tests with the list. */
export function classifyFailures(
  failed: readonly string[],
  known: readonly KnownRed[],
): FailureReport {
  return {
    unexpected: failed.filter((name) =>
      known.every(({ test }) => test !== name)
    ),
    expected: known.filter(({ test }) => failed.includes(test)),
    fixed: known.filter(({ test }) => !failed.includes(test)),
  };
}
