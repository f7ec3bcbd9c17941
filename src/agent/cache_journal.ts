/**
 * Polls the cache events of an engine and keeps a journal of the prompt
 * prefixes of calls that passed this agent.
 *
 * Engines publish an event for each block; a prefix covers many blocks. The
 * journal holds changes of whole prefixes, so that each response can carry the
 * newest of them. A prefix changes when its last block does, since the key of a
 * prefix is the engine's name of that block. If the engine fails to publish an
 * event, the journal is wrong until the next call with the prefix, which the
 * engine then caches again.
 *
 * @module
 */

import { request } from "undici";
import { z } from "zod";
import { every, timeoutSignal } from "../kernel/mod.ts";
import { type CacheChange, promptOf, type PromptSource } from "../model/mod.ts";
import { prefixKey } from "../routing/mod.ts";
import { REPORT_DISPATCHER } from "./target_http.ts";

const POLL_MS = 1_000;
const RESPONSE_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
/** Most prefixes of earlier calls that are matched against the events. */
const MAX_PREFIXES = 4_096;
/** Most changes that a response carries; the newest are kept. */
const MAX_CHANGES = 16;

const eventsSchema = z.array(z.object({
  seq: z.int().nonnegative(),
  kind: z.enum(["stored", "removed"]),
  block: z.string(),
}));

/** Event that an engine publishes for one block. */
export type BlockEvent = z.infer<typeof eventsSchema>[number];

/** Journal of changes to the prefixes that an engine has cached. */
export class CacheJournal {
  /** Prefixes of earlier calls, least recently used first. */
  readonly #prefixes = new Set<string>();
  #changes: readonly CacheChange[] = [];
  #nextSeq = 0;
  /** Sequence number of the newest event read; -1 before the first. */
  #lastSeq = -1;

  /** The newest changes, oldest first. */
  get changes(): readonly CacheChange[] {
    return this.#changes;
  }

  /** Sequence number of the newest event read; -1 before the first. */
  get read(): number {
    return this.#lastSeq;
  }

  /** Records the prefix of a call. */
  recordCall(source: PromptSource): void {
    const key = prefixKey(promptOf(source));
    if (key === undefined) return;
    this.#prefixes.delete(key);
    this.#prefixes.add(key);
    const excess = this.#prefixes.size - MAX_PREFIXES;
    [...this.#prefixes].slice(0, Math.max(0, excess))
      .forEach((evicted) => this.#prefixes.delete(evicted));
  }

  /** Applies published events and skips those already read. */
  applyEvents(events: readonly BlockEvent[]): void {
    const unread = events.filter(({ seq }) => seq > this.#lastSeq);
    this.#lastSeq = Math.max(this.#lastSeq, ...unread.map(({ seq }) => seq));
    const changes = unread
      .filter(({ block }) => this.#prefixes.has(block))
      .map(({ kind, block }): CacheChange => ({
        seq: this.#nextSeq++,
        key: block,
        held: kind === "stored",
      }));
    this.#changes = [...this.#changes, ...changes].slice(-MAX_CHANGES);
  }
}

/** Polls `GET /cache-events` of an engine until the signal aborts. */
export function pollCacheEvents(
  url: string,
  opts: { journal: CacheJournal; signal: AbortSignal },
): void {
  const { journal, signal } = opts;
  void every(POLL_MS, async () => {
    journal.applyEvents(
      await fetchEvents(url, { after: journal.read, signal }),
    );
  }, signal);
}

async function fetchEvents(
  url: string,
  { after, signal }: { after: number; signal: AbortSignal },
): Promise<readonly BlockEvent[]> {
  try {
    const res = await request(`${url}/cache-events?after=${after}`, {
      dispatcher: REPORT_DISPATCHER,
      signal: timeoutSignal(RESPONSE_TIMEOUT_MS, signal),
    });
    const text = await res.body.text();
    return res.statusCode === HTTP_OK
      ? eventsSchema.parse(JSON.parse(text))
      : [];
  } catch {
    // Without events, the entries rely on the calls that they sent.
    return [];
  }
}
