/**
 * Versions in the messages between entries: the numbers of the store, with eras
 * beside them. Entries of builds that know no eras read and send numbers alone;
 * those count as of the receiver's own era.
 *
 * @module
 */

import {
  eraOf,
  numberOf,
  type StateChange,
  UNRECORDED,
  versionInEra,
} from "../serving/mod.ts";
import type { PartNumbers, SentChange } from "../wire/mod.ts";

/** Numbers and eras of the versions of all parts. */
export interface SentVersions {
  readonly versions: PartNumbers;
  readonly eras: PartNumbers;
}

/** Encodes versions by part. */
export function encodeVersions(versions: PartNumbers): SentVersions {
  return {
    versions: mapValues(versions, numberOf),
    eras: mapValues(versions, eraOf),
  };
}

/** Decodes versions by part; `own` are the versions of the receiver. */
export function decodeVersions(
  { versions, eras = {} }: {
    readonly versions: PartNumbers;
    readonly eras?: PartNumbers;
  },
  own: PartNumbers,
): PartNumbers {
  return mapValues(
    versions,
    (version, part) => withEra(version, eras[part] ?? eraOf(own[part] ?? 0)),
  );
}

export function encodeChange(change: StateChange): SentChange {
  const { version } = change;
  return { ...change, version: numberOf(version), era: eraOf(version) };
}

/** Decodes a change; `ownVersion` is the receiver's version of its part. */
export function decodeChange(
  { era, ...change }: SentChange,
  ownVersion: number,
): StateChange {
  const version = withEra(change.version, era ?? eraOf(ownVersion));
  return { ...change, version };
}

function withEra(version: number, era: number): number {
  return version === UNRECORDED ? UNRECORDED : versionInEra(era, version);
}

function mapValues(
  numbers: PartNumbers,
  change: (value: number, part: string) => number,
): PartNumbers {
  return Object.fromEntries(
    Object.entries(numbers)
      .map(([part, value]) => [part, change(value, part)]),
  );
}
