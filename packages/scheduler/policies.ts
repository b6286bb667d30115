import type { Policy } from './Policy';
import type { PolicyName } from './PolicyName';

/** The policies, found by name. */
export const policies: Readonly<Record<PolicyName, Policy>> = {
  stairline: {
    isWeighted: true,
    isAdmissionChecked: true,
    isPreempting: true,
    isShareKept: true,
    chooseWorker: (row, index, pick) =>
      row.placement === 'pack' ? index.chooseTightest() : index.chooseRoomiest(pick),
  },
  'arrival-random': {
    isWeighted: false,
    isAdmissionChecked: false,
    isPreempting: false,
    isShareKept: false,
    chooseWorker: (_row, index, pick) => index.chooseAny(pick),
  },
  // The policy in use but for the search: it looks at every worker. It shows what the room index saves.
  'naive-scan': {
    isWeighted: true,
    isAdmissionChecked: true,
    isPreempting: true,
    isShareKept: true,
    chooseWorker: (_row, index) => index.chooseByScan(),
  },
  'least-loaded': {
    isWeighted: false,
    isAdmissionChecked: false,
    isPreempting: false,
    isShareKept: false,
    chooseWorker: (_row, index, pick) => index.chooseRoomiest(pick),
  },
};
