import { constants } from 'node:os';

/** Shells report the end by a signal as this plus the number of the signal. */
const SIGNALLED_EXIT_CODE = 128;

/** Turns the signals that end a process into an exit, at which its exit cleanups run. */
export const startExitOnSignal = (): void => {
  for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(SIGNALLED_EXIT_CODE + constants.signals[signal]));
  }
};
