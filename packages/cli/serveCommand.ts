import { randomBytes } from 'node:crypto';
import { createPlatformAdapter } from '../../platform/createPlatformAdapter';
import { readPlatformSettings } from '../../platform/readPlatformSettings';
import { wireNames } from '../../platform/wireNames';
import { createMachineClock } from '../common/createMachineClock';
import { createRandom } from '../common/createRandom';
import type { Logger } from '../common/Logger';
import { systemClock } from '../common/systemClock';
import { formatError } from '../common/formatError';
import { ServeProcess } from '../serve/ServeProcess';
import { DecisionLog } from '../logging/DecisionLog';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { formatWayHelp } from './formatWayHelp';
import { readWays } from './readWays';
import type { WayOption } from './WayOption';
import { wayOptions } from './wayOptions';
import { writeError } from './writeError';

const LOG_LINES_PER_SECOND = 400;
/** Between looks whether lines that were left out are to be told. */
const LOG_TICK_MS = 1000;

/** Resolves once the process was told to stop and has finished. */
const handleSignals = (serve: ServeProcess): Promise<void> =>
  new Promise((resolve) => {
    const handleStop = (): void => void serve.stop().then(resolve);
    process.on('SIGTERM', handleStop);
    process.on('SIGINT', handleStop);
    process.on('SIGHUP', () => serve.handleReload());
  });

const WAYS: readonly WayOption<string>[] = Object.values<WayOption<string>>(wayOptions);

/** `stairline serve`: one entry process on the platform. */
export const serveCommand: Command = {
  name: 'serve',
  summary:
    'Run one entry process on the platform. SIGTERM stops it by plan, SIGHUP reads the settings again.',
  usage: `[--settings FILE] ${WAYS.map(({ name }) => `[--${name} NAME]`).join(' ')}`,
  options: {
    settings: { type: 'string', help: `settings file; without it, ${wireNames.settingsVariable} names it` },
    ...Object.fromEntries(
      WAYS.map((way) => [way.name, { type: 'string', help: formatWayHelp(way) } as const]),
    ),
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
    const ways = readWays(input.values);
    if (!ways.ok) {
      ways.error.forEach(writeError);
      return exitCodes.usage;
    }
    const incarnation = `${Date.now().toString(36)}${randomBytes(3).toString('hex')}`;
    const decisionLog = new DecisionLog({
      box: settings.value.box,
      writeLine: (line) => void process.stdout.write(line),
      getBacklogBytes: () => process.stdout.writableLength,
      readNow: () => systemClock.getNow(),
      readWall: () => Date.now(),
      linesPerSecond: LOG_LINES_PER_SECOND,
    });
    setInterval(() => decisionLog.handleTick(), LOG_TICK_MS).unref();
    const createPartLogger = (part: string): Logger => decisionLog.createLogger(part);
    const clock = createMachineClock(createPartLogger('clock'));
    const serve = new ServeProcess({
      settings: { ...settings.value, ...ways.value },
      adapter: createPlatformAdapter(settings.value, clock),
      clock,
      random: createRandom(randomBytes(4).readUInt32LE()),
      process: `${settings.value.box}#${incarnation}`,
      createPartLogger,
    });
    // A collector that goes away must not end the box: lines are then lost.
    process.stdout.on('error', () => undefined);
    const stopped = handleSignals(serve);
    try {
      await serve.start();
    } catch (thrown) {
      writeError(`The entry process could not start: ${formatError(thrown)}.`);
      return exitCodes.failed;
    }
    await stopped;
    decisionLog.stop();
    // Long polls would hold the process for seconds more.
    process.exit(exitCodes.done);
  },
};
