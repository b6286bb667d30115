import type { BoxId } from '../common/BoxId';
import type { Clock } from '../common/Clock';
import type { HallId } from '../common/HallId';
import type { Logger } from '../common/Logger';
import type { ProcessId } from '../common/ProcessId';
import type { Random } from '../common/Random';
import type { Settings } from '../settings/Settings';
import type { HybridClock } from '../common/HybridClock';
import type { Timeline } from '../timeline/Timeline';

/** What every part of an entry process is given. */
export interface EntryContext {
  readonly settings: Settings;
  readonly box: BoxId;
  readonly hall: HallId;
  readonly process: ProcessId;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly random: Random;
  readonly timeline: Timeline;
  /** Creates the logger of a part. */
  readonly createPartLogger: (part: string) => Logger;
}
