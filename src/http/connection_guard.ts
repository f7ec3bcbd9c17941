/**
 * Bounds what the clients of an HTTP server make the process hold and do.
 *
 * Node parses all that it has read from a connection at once: thousands of
 * pipelined requests, or tens of thousands of chunks. The guard passes input to
 * the parser piece by piece, one request at a time, and stops reading a
 * connection whose requests are not answered or whose input is costly.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type ClientBudget,
  ConnectionGroup,
  Holding,
} from "./client_budget.ts";
import { HolderPhase } from "./shed_order.ts";

/** Largest piece of a head or a chunked body that is parsed at once, in bytes. */
const PIECE_BYTES = 4 * 1024;
/**
 * Time for which the input of one connection is parsed before others have their
 * turn, in milliseconds; 64 KiB of a plain body take far less.
 */
const TURN_MS = 1;
/**
 * Interval of the turns of connections whose input takes longer, in
 * milliseconds: together they use some tenth of the processor.
 */
const TURN_INTERVAL_MS = 8;
/**
 * Memory of a request, its response and what serves it, in bytes: about 3,000
 * in hand took 25 MB.
 */
const REQUEST_BYTES = 8 * 1024;
/**
 * Memory of the chunks that a listener collects, for each line end of a chunked
 * body, in bytes: a chunk has two and took some 300 bytes.
 */
const LINE_BYTES = 150;
/** Memory of one name or value in a head, in bytes. */
const FIELD_BYTES = 64;

/** Options of a {@linkcode ConnectionGuard}. */
export interface GuardOptions {
  readonly budget: ClientBudget;
  /** Most connections of the server. */
  readonly maxConnections: number;
  /**
   * Largest body, in bytes; a longer one ends the connection. Without it, the
   * server's listener counts and bounds the bodies.
   */
  readonly maxBodyBytes?: number;
  /** Largest part of the memory for all servers; all by default. */
  readonly memoryShare?: number;
  /** Event of the server that reports a connection. */
  readonly event?: "connection" | "secureConnection";
  /**
   * Ends a connection to free what it holds, whose request may not have been
   * read to its end. By default it is destroyed.
   */
  shed?(socket: Socket): void;
}

/** Connections that wait for their turn. */
class Turns {
  readonly #waiting = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;

  add(take: () => void): void {
    this.#waiting.add(take);
    this.#timer ??= setTimeout(() => this.#run(), TURN_INTERVAL_MS);
  }

  remove(take: () => void): void {
    this.#waiting.delete(take);
  }

  #run(): void {
    this.#timer = undefined;
    const [take] = this.#waiting;
    if (!take) return;
    this.#waiting.delete(take);
    take();
    this.#timer = setTimeout(() => this.#run(), TURN_INTERVAL_MS);
  }
}

/** One turn queue for all servers of the process. */
const TURNS = new Turns();

/** Guards the connections of one server. */
export class ConnectionGuard {
  readonly #opts: GuardOptions;
  readonly #group: ConnectionGroup;
  readonly #inputs = new WeakMap<Socket, GuardedInput>();

  /** Created before other listeners of the server's requests. */
  constructor(server: Server, opts: GuardOptions) {
    this.#opts = opts;
    this.#group = new ConnectionGroup(
      opts.maxConnections,
      opts.memoryShare ?? 1,
    );
    server.on(
      opts.event ?? "connection",
      (socket: Socket) => this.#accept(socket),
    );
    server.prependListener(
      "request",
      (req, res) => this.#inputs.get(req.socket)?.begin(req, res),
    );
  }

  /** Returns what a connection holds; undefined once it has been refused. */
  holdingOf(socket: Socket): Holding | undefined {
    return this.#inputs.get(socket)?.holding;
  }

  /** False when the request of a response has no room. */
  hasRoom(res: ServerResponse): boolean {
    return this.#inputs.get(res.req.socket)?.hasRoom(res) ?? false;
  }

  #openRequests(socket: Socket): number {
    return this.#inputs.get(socket)?.open ?? 0;
  }

  /** Reads no more of a connection that is about to be closed. */
  discard(socket: Socket): void {
    this.#inputs.get(socket)?.discard();
  }

  #accept(socket: Socket): void {
    const { budget, shed = (closed: Socket) => closed.destroy() } = this.#opts;
    const holding: Holding = new Holding(
      socket.remoteAddress ?? "",
      this.#group,
      {
        phase: () => this.#inputs.get(socket)?.phase ?? HolderPhase.Idle,
        openRequests: () => this.#openRequests(socket),
        shed: () => shed(socket),
      },
    );
    if (!budget.tryConnect(holding)) {
      socket.destroy();
      return;
    }
    const input = new GuardedInput(socket, holding, this.#opts);
    this.#inputs.set(socket, input);
    socket.once("close", () => {
      input.close();
      budget.disconnect(holding);
    });
  }
}

/** Part of Node's socket by which its HTTP server marks a pause of its own. */
interface PausableSocket {
  readonly _paused?: boolean;
}

/** Input of one connection. */
class GuardedInput {
  readonly holding: Holding;
  readonly #socket: Socket;
  readonly #opts: GuardOptions;
  readonly #parse: (this: Socket, bytes: Buffer) => void;
  readonly #push = (bytes: Buffer) => this.#take(bytes);
  readonly #takeTurn = () => {
    this.#isDeferred = false;
    this.#resume();
  };
  readonly #open = new Map<ServerResponse, boolean>();
  /** Request whose body is being read. */
  #current: IncomingMessage | undefined;
  /** Bytes of its body that are to come; undefined when it is chunked. */
  #bodyLeft: number | undefined;
  #bodyBytes = 0;
  /** Bytes of bodies that the requests in hand hold. */
  #heldBodyBytes = 0;
  /** Bytes of a head that is not complete. */
  #headBytes = 0;
  #isHeld = false;
  /** True when the request being read took more than a turn. */
  #isCostly = false;
  /** True while the connection waits for its turn. */
  #isDeferred = false;
  #isDiscarded = false;

  constructor(socket: Socket, holding: Holding, opts: GuardOptions) {
    this.#socket = socket;
    this.holding = holding;
    this.#opts = opts;
    // Node's listener, which passes the bytes to the parser.
    const [parse] = socket.listeners("data");
    this.#parse = parse as (this: Socket, bytes: Buffer) => void;
    socket.removeListener("data", this.#parse);
    socket.on("data", this.#push);
    socket.on("drain", () => holding.progressed());
  }

  /** Follows a request whose head has been parsed. */
  begin(req: IncomingMessage, res: ServerResponse): void {
    const { budget } = this.#opts;
    this.#releaseHead();
    this.#isCostly = false;
    this.#current = req;
    this.#bodyBytes = 0;
    this.#bodyLeft = req.headers["transfer-encoding"] === undefined
      ? Number(req.headers["content-length"] ?? 0)
      : undefined;
    const bytes = REQUEST_BYTES + FIELD_BYTES * req.rawHeaders.length;
    this.#open.set(res, budget.tryHold(this.holding, bytes));
    this.holding.progressed();
    let isOpen = true;
    const end = () => {
      if (!isOpen) return;
      isOpen = false;
      res.off("close", end);
      this.#socket.off("close", end);
      this.#open.delete(res);
      budget.release(this.holding, bytes);
      if (this.#open.size === 0) this.#releaseBodies();
      this.holding.progressed();
      this.#defer();
    };
    res.once("close", end);
    this.#socket.once("close", end);
  }

  hasRoom(res: ServerResponse): boolean {
    return this.#open.get(res) ?? false;
  }

  discard(): void {
    this.#isDiscarded = true;
    this.#resume();
  }

  close(): void {
    TURNS.remove(this.#takeTurn);
    this.#releaseHead();
    this.#releaseBodies();
  }

  /** Number of requests in hand. */
  get open(): number {
    return this.#open.size;
  }

  /** True while one more request may be read. */
  get #mayRead(): boolean {
    if (this.#current && !this.#current.complete) return true;
    if (this.#open.size === 0) return true;
    const { limits, hasRoomForMore } = this.#opts.budget;
    return this.#open.size < limits.pipelinedRequests && hasRoomForMore;
  }

  #take(bytes: Buffer): void {
    const socket = this.#socket;
    const endAt = monotonicMs() + TURN_MS;
    let rest = bytes;
    this.#opts.budget.received(bytes.length);
    while (rest.length > 0 && !this.#isDiscarded && !socket.destroyed) {
      const isPaused = (socket as PausableSocket)._paused === true;
      if (isPaused || this.#isDeferred || !this.#mayRead) {
        return this.#hold(rest);
      }
      const size = this.#nextSize(rest);
      const piece = rest.subarray(0, size);
      rest = rest.subarray(size);
      this.#parsePiece(piece);
      // After an error of the parser, nothing more is parsed.
      if (!socket.listeners("data").includes(this.#push)) return;
      if (rest.length > 0 && monotonicMs() >= endAt) {
        this.#isCostly = true;
        this.#hold(rest);
        this.#defer();
        return;
      }
    }
  }

  #parsePiece(piece: Buffer): void {
    const { budget } = this.#opts;
    // Costly input is no progress: it would keep others out for long.
    if (!this.#isCostly) this.holding.received(piece.length);
    if (this.#current) {
      if (this.#bodyLeft !== undefined) this.#bodyLeft -= piece.length;
      if (!this.#tryHoldBody(piece)) return;
    } else {
      this.#headBytes += piece.length;
      budget.hold(this.holding, piece.length);
    }
    this.#parse.call(this.#socket, piece);
    if (this.#current?.complete) {
      this.#current = undefined;
      this.holding.progressed();
    }
  }

  /** Counts bytes of a body; ends the connection when there is no room. */
  #tryHoldBody(piece: Buffer): boolean {
    const { maxBodyBytes, budget } = this.#opts;
    if (maxBodyBytes === undefined) return true;
    const chunkBytes = this.#bodyLeft === undefined
      ? LINE_BYTES * countLines(piece)
      : 0;
    const heldBytes = piece.length + chunkBytes;
    this.#bodyBytes += piece.length;
    this.#heldBodyBytes += heldBytes;
    const hasRoom = budget.tryHold(this.holding, heldBytes);
    if (hasRoom && this.#bodyBytes <= maxBodyBytes) return true;
    budget.report("body", { bytes: this.#bodyBytes });
    this.#socket.destroy();
    return false;
  }

  #releaseBodies(): void {
    this.#opts.budget.release(this.holding, this.#heldBodyBytes);
    this.#heldBodyBytes = 0;
  }

  /** Size of the next piece, which holds the end of one message at most. */
  #nextSize(rest: Buffer): number {
    if (this.#current && this.#bodyLeft !== undefined) {
      return Math.min(rest.length, Math.max(1, this.#bodyLeft));
    }
    const piece = rest.subarray(0, PIECE_BYTES);
    const ends = [piece.indexOf("\n\r\n"), piece.indexOf("\n\n")]
      .map((at, i) => at < 0 ? piece.length : at + (i === 0 ? 3 : 2));
    return Math.min(...ends);
  }

  #hold(rest: Buffer): void {
    this.#isHeld = true;
    this.#socket.pause();
    this.#socket.unshift(rest);
  }

  /** Waits for a turn to read on, if input is held that may be read. */
  #defer(): void {
    if (!this.#isHeld || this.#isDeferred || !this.#mayRead) return;
    this.#isDeferred = true;
    TURNS.add(this.#takeTurn);
  }

  #resume(): void {
    if (!this.#isHeld || this.#socket.destroyed) return;
    if (!this.#mayRead && !this.#isDiscarded) return;
    this.#isHeld = false;
    this.#socket.resume();
  }

  #releaseHead(): void {
    this.#opts.budget.release(this.holding, this.#headBytes);
    this.#headBytes = 0;
  }

  /** What the connection waits for. */
  get phase(): HolderPhase {
    if (this.#current || this.#headBytes > 0) return HolderPhase.Reading;
    if (this.#socket.writableLength > 0) return HolderPhase.Unread;
    if (this.#open.size === 0) return HolderPhase.Idle;
    return this.#open.size > 1 || this.#isHeld
      ? HolderPhase.Pipelined
      : HolderPhase.Serving;
  }
}

function countLines(bytes: Buffer): number {
  let lines = 0;
  for (
    let at = bytes.indexOf("\n");
    at >= 0;
    at = bytes.indexOf("\n", at + 1)
  ) {
    lines += 1;
  }
  return lines;
}
