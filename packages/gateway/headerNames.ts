/** Names of HTTP headers between callers, entry boxes and endpoints. */
export const headerNames = {
  outcome: 'x-stairline-outcome',
  request: 'x-stairline-request',
  deadline: 'x-stairline-deadline-ms',
  team: 'x-stairline-team',
  hop: 'x-stairline-hop',
  box: 'x-stairline-box',
  /** Between entry boxes: requests only the outcome of an idempotency key. */
  lookup: 'x-stairline-lookup',
  /** Between entry boxes: a call response without its body. */
  answer: 'x-stairline-answer',
  idempotencyKey: 'idempotency-key',
  /** To and from endpoints: the id of the task, which the response must repeat. */
  task: 'x-task-id',
  timeLimit: 'x-time-limit-ms',
  demand: 'x-demand',
  yielded: 'x-yielded',
  callerRequest: 'x-caller-request',
  /** To endpoints: fencing token. The endpoint rejects requests with a lower token than it has seen. */
  ownerToken: 'x-owner-token',
  /** From endpoints: the request was rejected for its fencing token, and nothing was started. */
  fenced: 'x-fenced',
} as const;
