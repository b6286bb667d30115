import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';

const SUSPICIOUS: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared', 'inherited']);

/** True when an endpoint has certainly ended under a task that had, or may have, just begun there. */
export const isUnderSuspicion = (crashes: readonly TaskCrash[]): boolean =>
  crashes.some(({ blame }) => SUSPICIOUS.has(blame));
