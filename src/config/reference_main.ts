/**
 * Program that prints the settings reference.
 *
 * @module
 */

import { settingsReference } from "./reference.ts";

process.stdout.write(settingsReference());
