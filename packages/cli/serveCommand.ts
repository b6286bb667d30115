import { randomBytes } from 'node:crypto';
import { createPlatformAdapter } from '../../platform/createPlatformAdapter';
import { readPlatformSettings } from '../../platform/readPlatformSettings';
import { wireNames } from '../../platform/wireNames';
import { createMachineClock } from '../common/createMachineClock';
import { createRandom } from '../common/createRandom';
import { setOptimizationBudget } from '../common/setOptimizationBudget';
import type { Logger } from '../common/Logger';
import { systemClock } from '../common/systemClock';
import { formatError } from '../common/formatError';
import { waitWithTimeout } from '../common/waitWithTimeout';
import { ServeProcess } from '../serve/ServeProcess';
import { DecisionLog } from '../logging/DecisionLog';
import { LineBuffer } from '../logging/LineBuffer';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { formatPolicyHelp } from './formatPolicyHelp';
import { limitOptions } from './limitOptions';
import { parseLimits } from './parseLimits';
import { parsePolicies } from './parsePolicies';
import type { PolicyOption } from './PolicyOption';
import { policyOptions } from './policyOptions';
import { writeError } from './writeError';

const LOG_LINES_PER_SECOND = 400;
/** Interval at which the log checks whether counts of suppressed lines are due. */
const SUPPRESSED_COUNT_CHECK_MS = 1000;
/** Time at the end of the process for the log collector to take the last lines. */
const MAX_OUTPUT_WAIT_MS = 200;

/** Resolves once all lines written to the standard output have been taken, or it has failed. */
const waitForOutput = (): Promise<void> =>
  new Promise((resolve) => {
    process.stdout.write('', () => resolve());
  });

/** Waits for SIGTERM or SIGINT and for the graceful stop; SIGHUP reloads the settings. */
const waitForStop = (serve: ServeProcess): Promise<void> =>
  new Promise((resolve) => {
    const handleStop = (): void => void serve.stop().then(resolve);
    process.on('SIGTERM', handleStop);
    process.on('SIGINT', handleStop);
    process.on('SIGHUP', () => serve.handleReload());
  });

const POLICY_OPTIONS: readonly PolicyOption<string>[] = Object.values<PolicyOption<string>>(policyOptions);

/** `stairline serve`: runs an entry process on the platform. */
export const serveCommand: Command = {
  name: 'serve',
  summary: 'Run one entry process on the platform. SIGTERM stops it gracefully, SIGHUP reloads the settings.',
  usage: `[--settings FILE] ${POLICY_OPTIONS.map(({ name }) => `[--${name} NAME]`).join(' ')} [--LIMIT NUMBER]`,
  options: {
    settings: {
      type: 'string',
      help: `settings file (default: the one named by ${wireNames.settingsVariable})`,
    },
    ...Object.fromEntries(
      POLICY_OPTIONS.map((option) => [
        option.name,
        { type: 'string', help: formatPolicyHelp(option) } as const,
      ]),
    ),
    ...Object.fromEntries(
      Object.values(limitOptions).map(({ name, help }) => [name, { type: 'string', help } as const]),
    ),
  },
  run: async (input) => {
    const file = input.values['settings'] ?? process.env[wireNames.settingsVariable];
    if (typeof file !== 'string' || file === '') {
      writeError(`No settings: expected --settings FILE or ${wireNames.settingsVariable}.`);
      return exitCodes.usage;
    }
    const settings = readPlatformSettings(file);
    if (!settings.ok) {
      settings.error.forEach((problem) => writeError(`Settings: ${problem}`));
      return exitCodes.usage;
    }
    const policies = parsePolicies(input.values);
    if (!policies.ok) {
      policies.error.forEach(writeError);
      return exitCodes.usage;
    }
    const callerLimits = parseLimits(input.values, settings.value);
    if (!callerLimits.ok) {
      callerLimits.error.forEach(writeError);
      return exitCodes.usage;
    }
    setOptimizationBudget(settings.value.cores);
    const incarnation = `${Date.now().toString(36)}${randomBytes(3).toString('hex')}`;
    const lineBuffer = new LineBuffer((text) => void process.stdout.write(text));
    const decisionLog = new DecisionLog({
      box: settings.value.box,
      writeLine: (line, canWait) => lineBuffer.writeLine(line, canWait),
      getBacklogBytes: () => process.stdout.writableLength + lineBuffer.getPendingLength(),
      getNow: () => systemClock.getNow(),
      getWallMs: () => Date.now(),
      maxLinesPerSecond: LOG_LINES_PER_SECOND,
    });
    setInterval(() => decisionLog.logSuppressedWhenDue(), SUPPRESSED_COUNT_CHECK_MS).unref();
    const createPartLogger = (part: string): Logger => decisionLog.createLogger(part);
    const clock = createMachineClock(createPartLogger('clock'));
    const serve = new ServeProcess({
      settings: { ...settings.value, ...policies.value, callerLimits: callerLimits.value },
      adapter: createPlatformAdapter(settings.value, clock),
      clock,
      random: createRandom(randomBytes(4).readUInt32LE()),
      process: `${settings.value.box}#${incarnation}`,
      createPartLogger,
    });
    process.on('exit', () => lineBuffer.writePending());
    // The process goes on without logs when the log collector closes the pipe.
    process.stdout.on('error', () => undefined);
    const stopped = waitForStop(serve);
    try {
      await serve.start();
    } catch (thrown) {
      writeError(`The entry process could not start: ${formatError(thrown)}.`);
      return exitCodes.failed;
    }
    await stopped;
    decisionLog.stop();
    lineBuffer.writePending();
    await waitWithTimeout(waitForOutput(), MAX_OUTPUT_WAIT_MS, undefined);
    // Long polls would keep the process running for seconds.
    process.exit(exitCodes.done);
  },
};
