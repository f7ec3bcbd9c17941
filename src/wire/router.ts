/**
 * tRPC routers over the process APIs.
 *
 * @module
 */

import { initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { AgentApi, EntryApi, PeerApi } from "./api.ts";
import { gossipSchema, listsSinceSchema, stageCallSchema } from "./schema.ts";

const trpc = initTRPC.create();

/** Path under which a process serves tRPC. */
export const TRPC_PATH = "/trpc";

/** Creates the router of the procedures that every process serves. */
export function createPeerRouter(api: PeerApi) {
  return trpc.router({
    peerState: trpc.procedure.query(() => api.peerState()),
    listsSince: trpc.procedure
      .input(listsSinceSchema)
      .query(({ input }) => api.listsSince(input.version)),
    exchange: trpc.procedure
      .input(gossipSchema)
      .mutation(({ input }) => api.exchange(input)),
  });
}

/** Creates the router of an entry. */
export function createEntryRouter(api: EntryApi) {
  const ownProcedures = trpc.router({
    costs: trpc.procedure.query(() => api.costs()),
  });
  return trpc.mergeRouters(createPeerRouter(api), ownProcedures);
}

/** Creates the router of an agent. */
export function createAgentRouter(api: AgentApi) {
  const ownProcedures = trpc.router({
    targetState: trpc.procedure.query(() => api.targetState()),
    runStage: trpc.procedure
      .input(stageCallSchema)
      .mutation(async function* ({ input, signal }) {
        yield* api.call(input, signal ?? new AbortController().signal);
      }),
  });
  return trpc.mergeRouters(createPeerRouter(api), ownProcedures);
}

/** Type of the peer router, for its client. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
/** Type of the entry router, for its client. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
/** Type of the agent router, for its client. */
export type AgentRouter = ReturnType<typeof createAgentRouter>;

/** Handles one fetch-style request with a router. */
export function serveRouter(
  router: PeerRouter | AgentRouter,
  req: Request,
): Promise<Response> {
  return fetchRequestHandler({
    endpoint: TRPC_PATH,
    req,
    router,
    createContext: () => ({}),
  });
}
