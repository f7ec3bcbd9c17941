/**
 * Asks the keepers of a stream for its origin.
 *
 * @module
 */

import { timeoutSignal } from "../kernel/mod.ts";
import {
  type Builds,
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
  /** Builds of the pool by the keepers that answered without knowing it. */
  readonly builds: readonly Builds[];
  /**
   * True when the builds are those of a keeper with a recent view, or of most of
   * the first keepers, which are not all on this side of a partition.
   */
  readonly areBuildsSure: boolean;
}

/** Findings of a lookup that asks nobody. */
export const NOBODY_ASKED: KeeperFindings = {
  builds: [],
  areBuildsSure: false,
};

/**
 * Asks the first keepers of a stream, and further ones in place of those that
 * fail; the silent ones last. Resolves with the first answer that knows the
 * origin, or when all have answered or the time is over.
 */
export async function askKeepers(
  query: OriginQuery,
  deps: { readonly keepers: Keepers; readonly clients: OriginClients },
): Promise<KeeperFindings> {
  const { keepers, clients } = deps;
  const signal = timeoutSignal(FIND_TIMEOUT_MS);
  const order = keepers.order.of(query.stream);
  const queue = [
    ...order.filter((peer) => keepers.isUsable(peer)),
    ...order.filter((peer) => !keepers.isUsable(peer)),
  ].values();
  const first = order.slice(0, ASKED_KEEPERS);
  const builds: Builds[] = [];
  let firstAnswers = 0;
  let hasRecent = false;
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
        builds.push(new Set(answer.builds.map(fromWire)));
        hasRecent ||= answer.isRecent;
        if (first.includes(peer)) firstAnswers += 1;
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
    return {
      builds,
      areBuildsSure: hasRecent || firstAnswers > first.length / 2,
    };
  }
}

function fromWire(build: string | null): string | undefined {
  return build ?? undefined;
}
