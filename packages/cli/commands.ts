import { checkCommand } from './checkCommand';
import type { Command } from './Command';
import { confirmEndedCommand } from './confirmEndedCommand';
import { entryCommand } from './entryCommand';
import { explainJobCommand } from './explainJobCommand';
import { explainCommand } from './explainCommand';
import { ledgerCommand } from './ledgerCommand';
import { replayCommand } from './replayCommand';
import { serveCommand } from './serveCommand';
import { statusCommand } from './statusCommand';
import { tableCommand } from './tableCommand';
import { timelineCommand } from './timelineCommand';

/** All subcommands, in the order of the help text. */
export const commands: readonly Command[] = [
  serveCommand,
  explainJobCommand,
  ledgerCommand,
  entryCommand,
  checkCommand,
  statusCommand,
  tableCommand,
  timelineCommand,
  explainCommand,
  replayCommand,
  confirmEndedCommand,
];
