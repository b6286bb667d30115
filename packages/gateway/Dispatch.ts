import type { Demand } from '../table/Demand';

/** Request to run one task on an endpoint. */
export interface Dispatch {
  /** Id of the task on the worker: `PROCESS/...`. */
  readonly task: string;
  readonly row: string;
  readonly callerRequest: string;
  /** Resources that the task reserves. */
  readonly demand: Demand;
  readonly timeLimitMs: number;
  /** Returns the monotonic time in milliseconds by which the worker has ended the task. Renewals of the lease extend it. */
  readonly getDeadline: () => number;
  readonly body: Buffer;
  readonly headers: Readonly<Record<string, string>>;
  /** Returns whether this process may still start tasks on the endpoint. Checked just before the request is sent. */
  readonly hasRight: () => boolean;
  /** Fencing token: increases with each change of the endpoint's owner, so that the endpoint rejects delayed requests. */
  readonly token: number;
  /** Called when the request has been written to the socket, which may be later than the check by `hasRight`. */
  readonly handleWritten: () => void;
}
