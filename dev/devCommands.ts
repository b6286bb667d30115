import type { Command } from '../packages/cli/Command';
import { benchCommand } from './bench/benchCommand';
import { callersCommand } from './bench/callersCommand';
import { demoCommand } from './demo/demoCommand';
import { exploreCommand } from './explorer/exploreCommand';
import { endpointsCommand } from './endpointsCommand';
import { replayAllCommand } from './replayAllCommand';
import { soakCommand } from './soak/soakCommand';
import { platformCommand } from './platformCommand';

/** Commands for development and tests; none of them is in the binary. */
export const devCommands: readonly Command[] = [
  platformCommand,
  endpointsCommand,
  demoCommand,
  exploreCommand,
  replayAllCommand,
  benchCommand,
  callersCommand,
  soakCommand,
];
