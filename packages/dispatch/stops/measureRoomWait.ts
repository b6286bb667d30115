import { resourceMath } from '../../jobs/resourceMath';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { RoomHolder } from './RoomHolder';

/** One endpoint that may take tasks of the step. */
interface HeldRoom {
  readonly free: TaskDemand;
  readonly holders: readonly RoomHolder[];
}

/** Times until one more task fits on an endpoint each, as its runs end. */
const readFitTimes = ({ free, holders }: HeldRoom, demand: TaskDemand, most: number): readonly number[] => {
  const times: number[] = [];
  let room = free;
  let waitMs = 0;
  const recordFits = (): void => {
    while (times.length < most && resourceMath.isWithin(demand, room)) {
      room = resourceMath.toDifference(room, demand);
      times.push(waitMs);
    }
  };
  recordFits();
  for (const holder of [...holders].sort((left, right) => left.remainingMs - right.remainingMs)) {
    room = resourceMath.toSum(room, holder.demand);
    waitMs = holder.remainingMs;
    recordFits();
  }
  return times;
};

/** Milliseconds until known ends make room for so many tasks, if nothing is stopped and nobody else takes it; Infinity when they do not. */
export const measureRoomWait = (
  endpoints: readonly HeldRoom[],
  demand: TaskDemand,
  count: number,
  mostPerEndpoint: number,
): number => {
  const most = mostPerEndpoint === 0 ? count : mostPerEndpoint;
  const times = endpoints.flatMap((endpoint) => readFitTimes(endpoint, demand, most));
  return times.sort((left, right) => left - right)[count - 1] ?? Infinity;
};
