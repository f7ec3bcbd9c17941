/**
 * Asks the keepers of a stream for its origin.
 *
 * @module
 */

import { timeoutSignal } from "../kernel/mod.ts";
import {
  type ListedPeer,
  ORIGIN_KEEPERS,
  type StreamOrigin,
} from "../serving/mod.ts";
import type { OriginAnswer, OriginQuery } from "../wire/mod.ts";
import type { Keepers } from "./keepers.ts";
import type { OriginClients } from "./ports.ts";

/** Longest wait for the answers of keepers, in milliseconds. */
const FIND_TIMEOUT_MS = 300;
/**
 * Keepers that are asked: one more than keep a stream, since the entry at which
 * it began is not one of them.
 */
const ASKED_KEEPERS = ORIGIN_KEEPERS + 1;

/** What the keepers of a stream know. */
export interface KeeperFindings {
  readonly origin?: StreamOrigin;
  /** Name of the keeper that knew the origin. */
  readonly keeper?: string;
  /** Answers of the keepers that do not know the origin. */
  readonly answers: readonly OriginAnswer[];
  /** Keepers that gave these answers. */
  readonly answered: readonly ListedPeer[];
  /**
   * True when most of the first keepers answered, which are not all on this
   * side of a partition.
   */
  readonly isMajority: boolean;
}

/** Findings of a lookup that asks nobody. */
export const NOBODY_ASKED: KeeperFindings = {
  answers: [],
  answered: [],
  isMajority: false,
};

/**
 * Asks the first keepers of a stream, and further ones in place of those that
 * fail; the silent ones last. With `among`, only these are asked. Resolves with
 * the first answer that knows the origin, or when all have answered or the time
 * is over.
 */
export async function askKeepers(
  query: OriginQuery,
  deps: {
    readonly keepers: Keepers;
    readonly clients: OriginClients;
    readonly among?: readonly ListedPeer[];
  },
): Promise<KeeperFindings> {
  const { keepers, clients } = deps;
  const signal = timeoutSignal(FIND_TIMEOUT_MS);
  const order = keepers.order.of(query.stream);
  const asked = deps.among ?? order;
  const queue = [
    ...asked.filter((peer) => keepers.isUsable(peer)),
    ...asked.filter((peer) => !keepers.isUsable(peer)),
  ].values();
  const first = order.slice(0, ASKED_KEEPERS);
  const answers: OriginAnswer[] = [];
  const answered: ListedPeer[] = [];
  let isFound = false;
  const ask = async (peer: ListedPeer): Promise<OriginAnswer | undefined> => {
    try {
      const answer = await clients.findOrigin(peer.url, query, signal);
      keepers.recordResponse(peer);
      return answer;
    } catch (err) {
      keepers.recordFailure(peer, String(err));
      return undefined;
    }
  };
  const askUntilAnswered = async (): Promise<KeeperFindings> => {
    for (const peer of queue) {
      const answer = await ask(peer);
      if (answer?.origin) {
        isFound = true;
        return { ...NOBODY_ASKED, origin: answer.origin, keeper: peer.name };
      }
      if (answer) {
        answers.push(answer);
        answered.push(peer);
      }
      if (answer || isFound || signal.aborted) break;
    }
    throw new Error("No keeper that was asked knows the stream");
  };
  try {
    return await Promise.any(
      Array.from({ length: ASKED_KEEPERS }, askUntilAnswered),
    );
  } catch {
    const firstAnswers = first.filter((peer) => answered.includes(peer));
    return {
      answers,
      answered,
      isMajority: firstAnswers.length > first.length / 2,
    };
  }
}
