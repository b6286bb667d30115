import type { Command } from '../packages/cli/Command';
import { exitCodes } from '../packages/cli/exitCodes';
import { writeLine } from '../packages/cli/writeLine';
import { PlatformStandin } from '../packages/standins/PlatformStandin';
import { startUntilSignal } from './startUntilSignal';

/** `dev platform`: the platform stand-in. */
export const platformCommand: Command = {
  name: 'platform',
  summary: 'Run the platform stand-in: log, box list, reports.',
  usage: '--address HOST:PORT',
  options: {
    address: { type: 'string', help: 'where to listen' },
    'report-lag-ms': { type: 'string', help: 'lag of reports (200)' },
    'list-lag-ms': { type: 'string', help: 'lag of the box list (500)' },
  },
  run: async ({ values }) => {
    const platform = new PlatformStandin({
      address: String(values['address']),
      reportLagMs: Number(values['report-lag-ms'] ?? 200),
      listLagMs: Number(values['list-lag-ms'] ?? 500),
    });
    await platform.start();
    writeLine('ready');
    await startUntilSignal();
    platform.stop();
    return exitCodes.done;
  },
};
