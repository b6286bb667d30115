import type { RequestId } from '../common/RequestId';
import type { Row } from '../table/Row';
import type { Team } from '../table/Team';
import type { SchedulerRequest } from './SchedulerRequest';
import type { WorkerView } from './WorkerView';

/** What reaches the decision core. A recorded trace is a list of these with their times. */
export type SchedulerEvent =
  | { readonly kind: 'request'; readonly request: SchedulerRequest }
  | { readonly kind: 'finish'; readonly id: RequestId }
  | { readonly kind: 'unplaced'; readonly id: RequestId; readonly isYield: boolean }
  | { readonly kind: 'cancel'; readonly id: RequestId }
  | { readonly kind: 'workers'; readonly workers: readonly WorkerView[] }
  | { readonly kind: 'table'; readonly rows: readonly Row[]; readonly teams: readonly Team[] }
  | { readonly kind: 'tick' };
