/** Why a request was given up on before it ran. */
export type RefusalReason =
  | 'unknownRow'
  | 'queueFull'
  | 'teamQuota'
  | 'deadlineUnreachable'
  | 'deadlinePassed'
  | 'rowRemoved'
  | 'stopping';
