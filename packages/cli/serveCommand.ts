import { randomBytes } from 'node:crypto';
import { createPlatformAdapter } from '../../platform/createPlatformAdapter';
import { readPlatformSettings } from '../../platform/readPlatformSettings';
import { wireNames } from '../../platform/wireNames';
import { createDecisionLog } from '../common/createDecisionLog';
import { createRandom } from '../common/createRandom';
import { systemClock } from '../common/systemClock';
import { toErrorText } from '../common/toErrorText';
import type { ConfigurationSource } from '../serve/ConfigurationSource';
import { configurationSources } from '../serve/configurationSources';
import { ServeProcess } from '../serve/ServeProcess';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { writeError } from './writeError';

const LOG_LINES_PER_SECOND = 400;

/** Resolves once the process was told to stop and has finished. */
const handleSignals = (serve: ServeProcess): Promise<void> =>
  new Promise((resolve) => {
    const handleStop = (): void => void serve.stop().then(resolve);
    process.on('SIGTERM', handleStop);
    process.on('SIGINT', handleStop);
    process.on('SIGHUP', () => serve.handleReload());
  });

const DEFAULT_SOURCE: ConfigurationSource = 'boxes';

const parseConfigurationSource = (text: unknown): ConfigurationSource | undefined => {
  const sources = Object.keys(configurationSources) as ConfigurationSource[];
  return text === undefined ? DEFAULT_SOURCE : sources.find((source) => source === text);
};

/** `stairline serve`: one entry process on the platform. */
export const serveCommand: Command = {
  name: 'serve',
  summary:
    'Run one entry process on the platform. SIGTERM stops it by plan, SIGHUP reads the settings again.',
  usage: '[--settings FILE] [--configuration log|boxes]',
  options: {
    settings: { type: 'string', help: `settings file; without it, ${wireNames.settingsVariable} names it` },
    configuration: {
      type: 'string',
      help: 'where new versions of the configuration come from while the log is out: log alone, or other boxes (default)',
    },
  },
  start: async (input) => {
    const file = input.values['settings'] ?? process.env[wireNames.settingsVariable];
    if (typeof file !== 'string' || file === '') {
      writeError(`No settings: give --settings FILE or set ${wireNames.settingsVariable}.`);
      return exitCodes.usage;
    }
    const settings = readPlatformSettings(file);
    if (!settings.ok) {
      settings.error.forEach((problem) => writeError(`Settings: ${problem}`));
      return exitCodes.usage;
    }
    const source = parseConfigurationSource(input.values['configuration']);
    if (source === undefined) {
      writeError(`--configuration: expected ${Object.keys(configurationSources).join(' or ')}.`);
      return exitCodes.usage;
    }
    const incarnation = `${Date.now().toString(36)}${randomBytes(3).toString('hex')}`;
    const serve = new ServeProcess({
      settings: { ...settings.value, configurationSource: source },
      adapter: createPlatformAdapter(settings.value, systemClock),
      clock: systemClock,
      random: createRandom(randomBytes(4).readUInt32LE()),
      process: `${settings.value.box}#${incarnation}`,
      createPartLogger: createDecisionLog({
        box: settings.value.box,
        writeLine: (line) => void process.stdout.write(line),
        readBacklogBytes: () => process.stdout.writableLength,
        readNow: () => systemClock.readNow(),
        linesPerSecond: LOG_LINES_PER_SECOND,
      }),
    });
    // A collector that goes away must not end the box: lines are then lost.
    process.stdout.on('error', () => undefined);
    const stopped = handleSignals(serve);
    try {
      await serve.start();
    } catch (thrown) {
      writeError(`The entry process could not start: ${toErrorText(thrown)}.`);
      return exitCodes.failed;
    }
    await stopped;
    // Long polls would hold the process for seconds more.
    process.exit(exitCodes.done);
  },
};
