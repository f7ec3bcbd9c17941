/**
 * Follows the cache events of an engine and keeps a journal of the prompt
 * prefixes that matter: those of calls that passed this agent.
 *
 * Engines publish an event for each block; a prefix covers many blocks. The
 * journal holds changes of whole prefixes, so that a few of them ride on each
 * answer. An event that the engine never published leaves the journal wrong
 * until the next call with the prefix, which the engine then caches anew.
 *
 * @module
 */

import { request } from "undici";
import { z } from "zod";
import { every, timeoutSignal } from "../kernel/mod.ts";
import { type CacheChange, promptOf, type PromptParts } from "../model/mod.ts";
import { prefixKey } from "../routing/mod.ts";

const POLL_MS = 1_000;
const ANSWER_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
/** Prefixes of earlier calls that are looked for in the events. */
const MAX_PREFIXES = 4_096;
/** Newest changes that ride on an answer. */
const MAX_CHANGES = 16;

const eventsSchema = z.array(z.object({
  seq: z.int().nonnegative(),
  kind: z.enum(["stored", "removed"]),
  block: z.string(),
}));

/** One published event. */
export type BlockEvent = z.infer<typeof eventsSchema>[number];

/** Journal of the prefixes that an engine holds. */
export class CacheJournal {
  /** Prefixes of earlier calls, the least recently used first. */
  readonly #prefixes = new Set<string>();
  #changes: readonly CacheChange[] = [];
  #nextSeq = 0;
  /** Number of the newest event that was read; -1 before the first. */
  #read = -1;

  /** The newest changes, the oldest of them first. */
  get changes(): readonly CacheChange[] {
    return this.#changes;
  }

  /** Number of the newest event that was read; -1 before the first. */
  get read(): number {
    return this.#read;
  }

  /** Notes the prefix of a call. */
  noteCall(parts: PromptParts): void {
    const key = prefixKey(promptOf(parts));
    if (key === undefined) return;
    this.#prefixes.delete(key);
    this.#prefixes.add(key);
    const surplus = this.#prefixes.size - MAX_PREFIXES;
    [...this.#prefixes].slice(0, Math.max(0, surplus))
      .forEach((old) => this.#prefixes.delete(old));
  }

  /** Takes in published events; those read before are passed over. */
  readEvents(events: readonly BlockEvent[]): void {
    const fresh = events.filter(({ seq }) => seq > this.#read);
    this.#read = Math.max(this.#read, ...fresh.map(({ seq }) => seq));
    const changes = fresh
      .filter(({ block }) => this.#prefixes.has(block))
      .map(({ kind, block }): CacheChange => ({
        seq: this.#nextSeq++,
        key: block,
        held: kind === "stored",
      }));
    this.#changes = [...this.#changes, ...changes].slice(-MAX_CHANGES);
  }
}

/** Reads `GET /cache-events` of an engine until the signal aborts. */
export function followCache(
  url: string,
  opts: { journal: CacheJournal; signal: AbortSignal },
): void {
  const { journal, signal } = opts;
  void every(POLL_MS, async () => {
    journal.readEvents(await readEvents(url, { after: journal.read, signal }));
  }, signal);
}

async function readEvents(
  url: string,
  { after, signal }: { after: number; signal: AbortSignal },
): Promise<readonly BlockEvent[]> {
  try {
    const res = await request(`${url}/cache-events?after=${after}`, {
      signal: timeoutSignal(ANSWER_TIMEOUT_MS, signal),
    });
    const text = await res.body.text();
    return res.statusCode === HTTP_OK
      ? eventsSchema.parse(JSON.parse(text))
      : [];
  } catch {
    // Without events the entries rely on their own calls.
    return [];
  }
}
