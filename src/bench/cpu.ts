/**
 * Processor time of another process on this host.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Clock ticks per second in `/proc`; this value is fixed on Linux. */
const TICKS_PER_S = 100;
/** Positions of user and system time among the fields after the name. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

/** Returns the user and system time of a process so far, in seconds. */
export function cpuSecondsOf(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) /
    TICKS_PER_S;
}
