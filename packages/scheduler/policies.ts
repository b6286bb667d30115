import type { Policy } from './Policy';
import type { PolicyName } from './PolicyName';

const chooseByRow: Policy['chooseWorker'] = (row, index, pick) =>
  row.placement === 'pack' ? index.chooseTightest() : index.chooseRoomiest(pick);

const firstVersion: Policy = {
  isWeighted: true,
  isAdmissionChecked: true,
  isPreempting: true,
  isShareKept: true,
  isRunSpreadCounted: false,
  isHeadroomKept: false,
  isSlownessCounted: false,
  chooseWorker: chooseByRow,
};

const stairline: Policy = {
  ...firstVersion,
  isRunSpreadCounted: true,
  isHeadroomKept: true,
  isSlownessCounted: true,
};

/** One line by arrival, nothing else. */
const arrivalOnly: Policy = {
  isWeighted: false,
  isAdmissionChecked: false,
  isPreempting: false,
  isShareKept: false,
  isRunSpreadCounted: false,
  isHeadroomKept: false,
  isSlownessCounted: false,
  chooseWorker: chooseByRow,
};

/** The policies, found by name. */
export const policies: Readonly<Record<PolicyName, Policy>> = {
  stairline,
  'stairline-1': firstVersion,
  'arrival-random': { ...arrivalOnly, chooseWorker: (_row, index, pick) => index.chooseAny(pick) },
  'least-loaded': { ...arrivalOnly, chooseWorker: (_row, index, pick) => index.chooseRoomiest(pick) },
  // The policy in use but for the search: it looks at every worker. It shows what the room index saves.
  'naive-scan': { ...stairline, chooseWorker: (_row, index) => index.chooseByScan() },
};
