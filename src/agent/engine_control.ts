/**
 * Control of a model engine over HTTP: sends orders and reads its setup.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { timeoutSignal } from "../kernel/mod.ts";
import type { EngineSetup, Order } from "../lease/mod.ts";
import { REPORT_DISPATCHER } from "./target_http.ts";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
/** Longest time that an order is in flight, in milliseconds. */
export const ORDER_TIMEOUT_MS = 5_000;

const roleSchema = z.object({
  model: z.string(),
  adapters: z.array(z.string()),
  fence: z.number().int().nonnegative(),
});

/** Setup of an engine and the highest fencing number it has received. */
export interface EngineRole extends EngineSetup {
  readonly fence: number;
}

/** Reasons why an order or a read of the setup failed. */
export const OrderErrorKind = {
  /** The engine has received a newer fencing number. */
  Fenced: "fenced",
  /** The target does not accept orders. */
  Unsupported: "unsupported",
  /** The order may have been applied. */
  Failed: "failed",
} as const;
export type OrderErrorKind = typeof OrderErrorKind[keyof typeof OrderErrorKind];

/** Failure of an order or of a read of the setup. */
export class OrderError extends Error {
  override readonly name = "OrderError";
  readonly kind: OrderErrorKind;

  constructor(kind: OrderErrorKind, message: string) {
    super(message);
    this.kind = kind;
  }
}

/** Control of one engine. */
export interface EngineControl {
  /** Reads what the engine has loaded. */
  role(signal?: AbortSignal): ResultAsync<EngineRole, OrderError>;
  /** Sends an order with a fencing number. */
  order(
    order: Order & { readonly fence: number },
    signal?: AbortSignal,
  ): ResultAsync<EngineRole, OrderError>;
}

/** Controls an engine by `POST /orders` and `GET /role`. */
export class HttpEngineControl implements EngineControl {
  readonly #url: string;

  constructor(url: string) {
    this.#url = url;
  }

  role(signal?: AbortSignal): ResultAsync<EngineRole, OrderError> {
    return this.#send("/role", { method: "GET", signal });
  }

  order(
    order: Order & { readonly fence: number },
    signal?: AbortSignal,
  ): ResultAsync<EngineRole, OrderError> {
    const body = JSON.stringify(order);
    return this.#send("/orders", { method: "POST", body, signal });
  }

  #send(
    path: string,
    opts: { method: "GET" | "POST"; body?: string; signal?: AbortSignal },
  ): ResultAsync<EngineRole, OrderError> {
    const { method, body, signal } = opts;
    const response = request(this.#url + path, {
      method,
      body,
      headers: { "content-type": "application/json" },
      dispatcher: REPORT_DISPATCHER,
      signal: timeoutSignal(ORDER_TIMEOUT_MS, ...(signal ? [signal] : [])),
    }).then(async ({ statusCode, body }) => ({
      statusCode,
      text: await body.text(),
    }));
    return ResultAsync.fromPromise(response, toOrderError)
      .andThen(({ statusCode, text }) => parseResponse(statusCode, text));
  }
}

function toOrderError(err: unknown): OrderError {
  return new OrderError(OrderErrorKind.Failed, String(err));
}

function parseResponse(
  status: number,
  text: string,
): ResultAsync<EngineRole, OrderError> {
  const message = `The engine responded with status ${status}`;
  if (status === HTTP_CONFLICT) {
    return errAsync(new OrderError(OrderErrorKind.Fenced, message));
  }
  if (status === HTTP_NOT_FOUND) {
    return errAsync(new OrderError(OrderErrorKind.Unsupported, message));
  }
  if (status !== HTTP_OK) {
    return errAsync(new OrderError(OrderErrorKind.Failed, message));
  }
  try {
    return okAsync(roleSchema.parse(JSON.parse(text)));
  } catch (err) {
    return errAsync(toOrderError(err));
  }
}
