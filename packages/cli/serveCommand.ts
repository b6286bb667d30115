import { randomBytes } from 'node:crypto';
import { createPlatformAdapter } from '../../platform/createPlatformAdapter';
import { readPlatformSettings } from '../../platform/readPlatformSettings';
import { wireNames } from '../../platform/wireNames';
import { createMachineClock } from '../common/createMachineClock';
import { createDecisionLog } from '../common/createDecisionLog';
import { createRandom } from '../common/createRandom';
import { systemClock } from '../common/systemClock';
import { toErrorText } from '../common/toErrorText';
import { dispatchDefaults } from '../dispatch/dispatchDefaults';
import { placementOrders } from '../dispatch/waiting/placementOrders';
import type { ConfigurationSource } from '../serve/ConfigurationSource';
import { configurationSources } from '../serve/configurationSources';
import { hallChoices } from '../dispatch/placing/hallChoices';
import { speedChoices } from '../dispatch/placing/speedChoices';
import type { Door } from '../load/Door';
import { doors } from '../load/doors';
import type { JobWriting } from '../serve/JobWriting';
import { jobWritings } from '../serve/jobWritings';
import { ServeProcess } from '../serve/ServeProcess';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { parseChoice } from './parseChoice';
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
const DEFAULT_WRITING: JobWriting = 'leader';
const DEFAULT_DOOR: Door = 'open';

/** Tells what an option may be. */
const writeChoiceError = (option: string, table: Readonly<Record<string, unknown>>): void =>
  writeError(`--${option}: expected ${Object.keys(table).join(' or ')}.`);

/** `stairline serve`: one entry process on the platform. */
export const serveCommand: Command = {
  name: 'serve',
  summary:
    'Run one entry process on the platform. SIGTERM stops it by plan, SIGHUP reads the settings again.',
  usage:
    '[--settings FILE] [--configuration log|boxes] [--order NAME] [--writing own|leader] [--speeds blind|kinds] [--halls spread|together] [--door open|watch|load]',
  options: {
    settings: { type: 'string', help: `settings file; without it, ${wireNames.settingsVariable} names it` },
    order: {
      type: 'string',
      help: `order of placement within a priority: ${Object.keys(placementOrders).join(', ')}`,
    },
    halls: { type: 'string', help: 'over which halls the tasks of a job go: spread, or together (default)' },
    speeds: { type: 'string', help: 'how the speed of kinds of endpoints counts: blind, or kinds (default)' },
    door: {
      type: 'string',
      help: 'what the load has to do with taking jobs in: open (default), watch (it is told) or load (hopeless jobs are refused)',
    },
    writing: { type: 'string', help: 'who appends accepted jobs to the log: own, or the leader (default)' },
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
    const source = parseChoice(configurationSources, input.values['configuration'], DEFAULT_SOURCE);
    const order = parseChoice(placementOrders, input.values['order'], dispatchDefaults.placementOrder);
    const writing = parseChoice(jobWritings, input.values['writing'], DEFAULT_WRITING);
    if (source === undefined) {
      writeChoiceError('configuration', configurationSources);
    }
    if (order === undefined) {
      writeChoiceError('order', placementOrders);
    }
    if (writing === undefined) {
      writeChoiceError('writing', jobWritings);
    }
    const halls = parseChoice(hallChoices, input.values['halls'], dispatchDefaults.hallChoice);
    if (halls === undefined) {
      writeChoiceError('halls', hallChoices);
    }
    const speeds = parseChoice(speedChoices, input.values['speeds'], dispatchDefaults.speedChoice);
    if (speeds === undefined) {
      writeChoiceError('speeds', speedChoices);
    }
    const door = parseChoice(doors, input.values['door'], DEFAULT_DOOR);
    if (door === undefined) {
      writeChoiceError('door', doors);
    }
    if (
      source === undefined ||
      order === undefined ||
      writing === undefined ||
      speeds === undefined ||
      halls === undefined ||
      door === undefined
    ) {
      return exitCodes.usage;
    }
    const incarnation = `${Date.now().toString(36)}${randomBytes(3).toString('hex')}`;
    const createPartLogger = createDecisionLog({
      box: settings.value.box,
      writeLine: (line) => void process.stdout.write(line),
      readBacklogBytes: () => process.stdout.writableLength,
      readNow: () => systemClock.readNow(),
      linesPerSecond: LOG_LINES_PER_SECOND,
    });
    const clock = createMachineClock(createPartLogger('clock'));
    const serve = new ServeProcess({
      settings: {
        ...settings.value,
        configurationSource: source,
        placementOrder: order,
        jobWriting: writing,
        speedChoice: speeds,
        hallChoice: halls,
        door,
      },
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
      writeError(`The entry process could not start: ${toErrorText(thrown)}.`);
      return exitCodes.failed;
    }
    await stopped;
    // Long polls would hold the process for seconds more.
    process.exit(exitCodes.done);
  },
};
