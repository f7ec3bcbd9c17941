/**
 * Layers of the code and checks of the imports between them. A module imports
 * only from its own folder and from folders of lower layers.
 *
 * @module
 */

/**
 * Folders below `src` by layer, the lowest first. Folders of the same layer do
 * not import each other.
 */
export const LAYERS: readonly (readonly string[])[] = [
  ["kernel"],
  ["telemetry"],
  ["model"],
  ["config"],
  ["tls", "http"],
  [
    "routing",
    "admission",
    "limits",
    "retry",
    "membership",
    "freshness",
    "lists",
    "lease",
    "ledger",
    "pipeline",
    "quarantine",
  ],
  ["serving"],
  ["wire", "store"],
  ["notices"],
  ["process", "origins", "crashes", "rates", "rollout"],
  ["entry", "agent", "gateway"],
  ["testing"],
  ["standin"],
  ["load"],
  ["launch"],
  ["bench", "soak"],
  ["cli"],
];

/** Import that violates the layer rule. */
export interface LayerFinding {
  readonly file: string;
  readonly imported: string;
  readonly message: string;
}

const IMPORT_PATTERN = /from "(\.[^"]+)"|import\("(\.[^"]+)"\)/g;

/**
 * Imports that the platform adapter may use. The adapter is built on the
 * gateway and does not depend on entries and agents.
 */
const ADAPTER_IMPORTS =
  /^(?:\.\.\/)+src\/(config|gateway|http|serving|standin|telemetry|testing|kernel)\/mod\.ts$/;

/** Returns the imports of an adapter file that violate the layer rule. */
export function checkAdapterImports(
  file: string,
  text: string,
): LayerFinding[] {
  return [...text.matchAll(IMPORT_PATTERN)]
    .map((match) => match[1] ?? match[2] ?? "")
    .filter((imported) => imported.includes("/src/"))
    .filter((imported) => !ADAPTER_IMPORTS.test(imported))
    .map((imported) => ({
      file,
      imported,
      message: "Import the mod.ts of a folder that the adapter may use",
    }));
}

/** Returns the imports of a file in `src` that violate the layer rule. */
export function checkImports(file: string, text: string): LayerFinding[] {
  const ownFolder = folderOf(file);
  if (ownFolder === undefined) return [];
  const imports = [...text.matchAll(IMPORT_PATTERN)]
    .map((match) => match[1] ?? match[2] ?? "");
  return imports.flatMap((imported) => {
    const message = findImportFault(ownFolder, imported);
    return message ? [{ file, imported, message }] : [];
  });
}

function findImportFault(
  ownFolder: string,
  imported: string,
): string | undefined {
  if (imported.startsWith("./")) return undefined;
  const [, folder, name] = /^\.\.\/([a-z]+)\/(.+)$/.exec(imported) ?? [];
  if (folder === undefined) return "Import by ../FOLDER/mod.ts";
  if (name !== "mod.ts") return "Import the folder's mod.ts";
  return layerOf(folder) < layerOf(ownFolder)
    ? undefined
    : `${folder} is not below ${ownFolder}`;
}

function layerOf(folder: string): number {
  const layer = LAYERS.findIndex((folders) => folders.includes(folder));
  if (layer < 0) throw new Error(`Folder ${folder} is in no layer`);
  return layer;
}

/** Returns the folder of `FOLDER/NAME.ts`; undefined for top-level files. */
function folderOf(file: string): string | undefined {
  const segments = file.split("/");
  return segments.length > 1 ? segments[0] : undefined;
}
