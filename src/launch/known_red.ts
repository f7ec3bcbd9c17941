/**
 * Tests that are known to fail, as `KNOWN-RED.txt` lists them.
 *
 * An entry is a block of `name: text` lines; blocks are parted by empty lines.
 *
 * @module
 */

/** One listed test. */
export interface KnownRed {
  /** Name of the test. */
  readonly test: string;
  /** The whole entry, for printing. */
  readonly text: string;
}

/** What the failures of a run mean in the light of the list. */
export interface Verdict {
  /** Failed tests that are not listed; any makes the run fail. */
  readonly unexpected: readonly string[];
  /** Listed tests that failed. */
  readonly expected: readonly KnownRed[];
  /** Listed tests that did not fail; their entries have to go. */
  readonly mended: readonly KnownRed[];
}

const TEST_LINE = /^test: (.+)$/m;

/** Parses the list; an entry without a test line is an error. */
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
export function judge(
  failed: readonly string[],
  known: readonly KnownRed[],
): Verdict {
  return {
    unexpected: failed.filter((name) =>
      known.every(({ test }) => test !== name)
    ),
    expected: known.filter(({ test }) => failed.includes(test)),
    mended: known.filter(({ test }) => !failed.includes(test)),
  };
}
