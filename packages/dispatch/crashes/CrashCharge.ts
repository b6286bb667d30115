import type { TaskCrash } from '../../jobs/TaskCrash';
import type { ChargeOwner } from './ChargeOwner';

/** The end of an endpoint, charged to one task. */
export interface CrashCharge extends ChargeOwner {
  readonly charge: TaskCrash;
}
