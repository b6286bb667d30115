/** Whether a process may place on a unit now, and if not, what is missing. */
export type UnitRight = 'granted' | 'notOwner' | 'noEvidence' | 'waitingForOthers' | 'unsettled';
