import { AnchoredClock } from './AnchoredClock';
import type { Logger } from './Logger';
import type { MachineClock } from './MachineClock';
import { readBootMs } from './readBootMs';
import { SuspensionClock } from './SuspensionClock';
import { systemClock } from './systemClock';

/** Creates the clocks of this process: suspensions count as time, and jumps of the time of day only once they have lasted. */
export const createMachineClock = (logger: Logger): MachineClock => {
  const machine = new SuspensionClock({
    source: systemClock,
    readBootMs,
    handleSuspended: (byMs) =>
      logger.warn('The machine was suspended: ages and leases count that time.', { byMs: Math.round(byMs) }),
    handleDoubt: (byMs) =>
      logger.warn('The time of day jumped ahead: rights of this box count it as time that passed.', {
        byMs: Math.round(byMs),
      }),
    handleBootClock: (isUsable) =>
      logger.info(isUsable ? 'The boot clock is used.' : 'The boot clock is not that of this machine.'),
  });
  const anchored = new AnchoredClock({
    source: machine,
    handleMoved: (byMs) => logger.warn('The time of day has moved.', { byMs: Math.round(byMs) }),
  });
  return {
    readNow: () => machine.readNow(),
    readWall: () => anchored.readWall(),
    readLongestSince: (since) => machine.readLongestSince(since),
  };
};
