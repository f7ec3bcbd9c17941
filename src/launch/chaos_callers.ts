/**
 * Callers of a chaos run. Each repeats its request under the same key until the
 * request is reported as done or the run ends.
 *
 * @module
 */

import { Agent, request } from "undici";
import { sleep, timeoutSignal } from "../kernel/mod.ts";
import type { Arrival } from "../load/mod.ts";
import { Proof } from "../model/mod.ts";

/** Outcome of one request as its caller saw it. */
export interface ChaosOutcome {
  readonly arrival: Arrival;
  readonly reported: "done" | "nothing" | Proof;
  readonly reason?: string;
  /** Absent without a response. */
  readonly requestId?: string;
  /** Wall-clock times, in milliseconds since the epoch. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** True when the output names the marker of another request. */
  readonly misdelivered: boolean;
}

/** Time beyond the deadline after which a caller stops waiting, in ms. */
const RESPONSE_SLACK_MS = 1_000;
const MAX_REPEAT_DELAY_MS = 1_500;
const CONNECTIONS = 512;

/** Callers of one deployment. */
export class ChaosCallers {
  readonly outcomes: ChaosOutcome[] = [];
  readonly #urls: readonly string[];
  readonly #random: () => number;
  readonly #dispatcher = new Agent({ connections: CONNECTIONS });

  constructor(opts: { urls: readonly string[]; random: () => number }) {
    this.#urls = opts.urls;
    this.#random = opts.random;
  }

  /** Sends a request and repeats it until it is done or `until` has passed. */
  async request(arrival: Arrival, until: number): Promise<void> {
    do {
      const outcome = await this.send(arrival);
      if (outcome.reported === "done") return;
      await sleep(this.#random() * MAX_REPEAT_DELAY_MS);
    } while (Date.now() < until);
  }

  /** Sends a request once, to a random entry. */
  async send(arrival: Arrival): Promise<ChaosOutcome> {
    const index = Math.floor(this.#random() * this.#urls.length);
    const url = this.#urls[index] as string;
    const sentAt = Date.now();
    const response = await this.#post(url, arrival);
    const outcome = { arrival, sentAt, endedAt: Date.now(), ...response };
    this.outcomes.push(outcome);
    return outcome;
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  async #post(url: string, arrival: Arrival): Promise<ResponseOutcome> {
    const { workload, organisation, marker, key } = arrival;
    try {
      const res = await request(`${url}/v1/pipelines/${workload.pipeline}`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          "authorization": `Bearer ${organisation.key}`,
          "idempotency-key": key,
          "deadline-ms": String(workload.deadlineMs),
        },
        body: JSON.stringify({ input: { marker, text: `Text of ${marker}` } }),
        dispatcher: this.#dispatcher,
        signal: timeoutSignal(workload.deadlineMs + RESPONSE_SLACK_MS),
      });
      return parseResponse(marker, await res.body.json() as ResponseBody);
    } catch (err) {
      return { reported: "nothing", reason: String(err), misdelivered: false };
    }
  }
}

type ResponseOutcome = Pick<
  ChaosOutcome,
  "reported" | "reason" | "requestId" | "misdelivered"
>;

interface ResponseBody {
  readonly requestId?: string;
  readonly type?: string;
  readonly outcome?: Proof;
  readonly output?: unknown;
}

function parseResponse(marker: string, body: ResponseBody): ResponseOutcome {
  const { requestId } = body;
  if (body.outcome !== undefined) {
    const reason = body.type;
    return { reported: body.outcome, reason, requestId, misdelivered: false };
  }
  const markers = JSON.stringify(body.output ?? null).match(/\bm\d+-\d+\b/g);
  const isOwn = markers !== null && markers.every((one) => one === marker);
  return { reported: "done", requestId, misdelivered: !isOwn };
}
