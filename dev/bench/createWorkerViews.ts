import { toId } from '../../packages/common/toId';
import { demandMath } from '../../packages/scheduler/demandMath';
import type { WorkerView } from '../../packages/scheduler/WorkerView';
import type { Demand } from '../../packages/table/Demand';

/** Creates views of `count` free workers of one capacity. */
export const createWorkerViews = (count: number, capacity: Demand): readonly WorkerView[] =>
  Array.from({ length: count }, (_, index) => ({
    id: toId(`worker-${index}`),
    rack: `rack-${Math.floor(index / 8)}`,
    capacity,
    isPlaceable: true,
    foreign: demandMath.NOTHING,
  }));
