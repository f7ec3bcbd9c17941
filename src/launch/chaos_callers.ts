/**
 * Callers of a chaos run: each repeats its key until it is told that the
 * request is done, or its patience ends.
 *
 * @module
 */

import { Agent, request } from "undici";
import { sleep, timeoutSignal } from "../kernel/mod.ts";
import type { Arrival } from "../load/mod.ts";
import { Proof } from "../model/mod.ts";

/** What one request was told. */
export interface ChaosTelling {
  readonly arrival: Arrival;
  readonly told: "done" | "nothing" | Proof;
  readonly reason?: string;
  /** Absent when nothing was told. */
  readonly requestId?: string;
  /** Wall-clock times, in milliseconds since the epoch. */
  readonly sentAt: number;
  readonly toldAt: number;
  /** True when the output names the marker of another request. */
  readonly misdelivered: boolean;
}

/** Slack that a caller gives an answer beyond its deadline, in ms. */
const ANSWER_SLACK_MS = 1_000;
const LONGEST_PAUSE_MS = 1_500;
const CONNECTIONS = 512;

/** Callers of one deployment. */
export class ChaosCallers {
  readonly tellings: ChaosTelling[] = [];
  readonly #urls: readonly string[];
  readonly #random: () => number;
  readonly #dispatcher = new Agent({ connections: CONNECTIONS });

  constructor(opts: { urls: readonly string[]; random: () => number }) {
    this.#urls = opts.urls;
    this.#random = opts.random;
  }

  /** Sends a request and repeats it until it is done or `until` has come. */
  async request(arrival: Arrival, until: number): Promise<void> {
    do {
      const telling = await this.send(arrival);
      if (telling.told === "done") return;
      await sleep(this.#random() * LONGEST_PAUSE_MS);
    } while (Date.now() < until);
  }

  /** Sends a request once, to any entry. */
  async send(arrival: Arrival): Promise<ChaosTelling> {
    const at = Math.floor(this.#random() * this.#urls.length);
    const url = this.#urls[at] as string;
    const sentAt = Date.now();
    const answer = await this.#ask(url, arrival);
    const telling = { arrival, sentAt, toldAt: Date.now(), ...answer };
    this.tellings.push(telling);
    return telling;
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  async #ask(url: string, arrival: Arrival): Promise<Answer> {
    const { work, organisation, marker, key } = arrival;
    try {
      const res = await request(`${url}/v1/pipelines/${work.pipeline}`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          "authorization": `Bearer ${organisation.key}`,
          "idempotency-key": key,
          "deadline-ms": String(work.deadlineMs),
        },
        body: JSON.stringify({ input: { marker, text: `Text of ${marker}` } }),
        dispatcher: this.#dispatcher,
        signal: timeoutSignal(work.deadlineMs + ANSWER_SLACK_MS),
      });
      return answerOf(marker, await res.body.json() as AnswerBody);
    } catch (err) {
      return { told: "nothing", reason: String(err), misdelivered: false };
    }
  }
}

type Answer = Pick<
  ChaosTelling,
  "told" | "reason" | "requestId" | "misdelivered"
>;

interface AnswerBody {
  readonly requestId?: string;
  readonly type?: string;
  readonly outcome?: Proof;
  readonly output?: unknown;
}

function answerOf(marker: string, body: AnswerBody): Answer {
  const { requestId } = body;
  if (body.outcome !== undefined) {
    const reason = body.type;
    return { told: body.outcome, reason, requestId, misdelivered: false };
  }
  const found = JSON.stringify(body.output ?? null).match(/\bm\d+-\d+\b/g);
  const isOwn = found !== null && found.every((one) => one === marker);
  return { told: "done", requestId, misdelivered: !isOwn };
}
