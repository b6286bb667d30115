import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const SUSPICIOUS: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared', 'inherited']);

/**
 * True when an endpoint has certainly ended under a task that had, or may have, just begun there, or so many have ended while it was there that
 * it has to be told from those that it was beside: it is started apart from them. Else sound tasks would go down with the harmful ones that are
 * found one by one, and be given up with them.
 */
export const isCrashSuspect = (crashes: readonly TaskCrash[]): boolean =>
  crashes.length >= crashLimits.isolatedAfterCrashes || crashes.some(({ blame }) => SUSPICIOUS.has(blame));
