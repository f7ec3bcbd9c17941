/**
 * Processor time of another process on this machine.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Clock ticks of a second in `/proc`, fixed on Linux. */
const TICKS_PER_S = 100;
/** Positions of user and system time behind the process's name. */
const UTIME = 11;
const STIME = 12;

/** User and system time of a process so far, in seconds. */
export function cpuSecondsOf(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[UTIME]) + Number(fields[STIME])) / TICKS_PER_S;
}
