/**
 * Orders to a model engine over HTTP.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { timeoutSignal } from "../kernel/mod.ts";
import type { EngineSetup, Order } from "../lease/mod.ts";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
/** Longest time that an order is under way, in milliseconds. */
export const ORDER_MS = 5_000;

const roleSchema = z.object({
  model: z.string(),
  adapters: z.array(z.string()),
  fence: z.number().int().nonnegative(),
});

/** Setup of an engine with the highest fencing number that it has seen. */
export interface EngineRole extends EngineSetup {
  readonly fence: number;
}

/** Why an order or a question did not succeed. */
export const OrderErrorKind = {
  /** The engine has seen a newer fencing number. */
  Fenced: "fenced",
  /** The target takes no orders. */
  Unsupported: "unsupported",
  /** The order may have been obeyed. */
  Failed: "failed",
} as const;
export type OrderErrorKind = typeof OrderErrorKind[keyof typeof OrderErrorKind];

/** Failed order. */
export class OrderError extends Error {
  override readonly name = "OrderError";
  readonly kind: OrderErrorKind;

  constructor(kind: OrderErrorKind, message: string) {
    super(message);
    this.kind = kind;
  }
}

/** Takes orders for one engine. */
export interface EngineControl {
  /** Reads back what the engine holds. */
  role(signal?: AbortSignal): ResultAsync<EngineRole, OrderError>;
  /** Gives an order under a fencing number. */
  order(
    order: Order & { readonly fence: number },
    signal?: AbortSignal,
  ): ResultAsync<EngineRole, OrderError>;
}

/** Engine that takes orders by `POST /orders` and shows `GET /role`. */
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
    const sent = request(this.#url + path, {
      method,
      body,
      headers: { "content-type": "application/json" },
      signal: timeoutSignal(ORDER_MS, ...(signal ? [signal] : [])),
    }).then(async ({ statusCode, body }) => ({
      statusCode,
      text: await body.text(),
    }));
    return ResultAsync.fromPromise(sent, failed)
      .andThen(({ statusCode, text }) => parse(statusCode, text));
  }
}

function failed(err: unknown): OrderError {
  return new OrderError(OrderErrorKind.Failed, String(err));
}

function parse(
  status: number,
  text: string,
): ResultAsync<EngineRole, OrderError> {
  const message = `The engine answered with status ${status}`;
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
    return errAsync(failed(err));
  }
}
