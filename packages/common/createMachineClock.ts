import { StepFilteredClock } from './StepFilteredClock';
import type { Logger } from './Logger';
import type { MachineClock } from './MachineClock';
import { readUptimeMs } from './readUptimeMs';
import { SuspensionAwareClock } from './SuspensionAwareClock';
import { systemClock } from './systemClock';

/** Creates the clock of this process, which includes suspensions and ignores short-lived steps of the wall clock. */
export const createMachineClock = (logger: Logger): MachineClock => {
  const machine = new SuspensionAwareClock({
    source: systemClock,
    readUptimeMs,
    handleSuspension: (byMs) =>
      logger.warn('The machine was suspended. Elapsed times and leases include the suspension.', {
        byMs: Math.round(byMs),
      }),
    handleUnverifiedStep: (byMs) =>
      logger.warn(
        'The wall clock stepped forward, possibly by a suspension. Leases held by this box count it as elapsed time.',
        {
          byMs: Math.round(byMs),
        },
      ),
    handleUptimeClockChange: (isUsable) =>
      logger.info(isUsable ? 'The uptime clock is usable.' : 'The uptime clock is not usable.'),
  });
  const filtered = new StepFilteredClock({
    source: machine,
    handleStep: (byMs) => logger.warn('The wall clock was stepped.', { byMs: Math.round(byMs) }),
  });
  return {
    getNow: () => machine.getNow(),
    getWallTime: () => filtered.getWallTime(),
    getMaxElapsedSince: (since) => machine.getMaxElapsedSince(since),
  };
};
