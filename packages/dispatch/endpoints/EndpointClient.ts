import type { TaskName } from '../../jobs/TaskName';
import type { PollResult } from './PollResult';
import type { CommandResult } from './CommandResult';
import type { StartCommand } from './StartCommand';

interface PollRequest {
  /** Acknowledges ends up to this sequence number, which the endpoint may forget; 0 acknowledges none. */
  readonly acknowledgedUpTo: number;
  /** Length of the new lease, in milliseconds; undefined doesn't renew the lease. */
  readonly leaseMs: number | undefined;
  /** Longest time that the endpoint may delay its response until a run ends, in milliseconds. */
  readonly waitMs: number;
  /** Time limit for the response, in milliseconds, `waitMs` included. */
  readonly timeoutMs: number;
  /**
   * True when the poll may only be sent over the connection of the last response, since it acknowledges ends that only the process at its other end
   * has listed, or renews the lease by the clock of that process. The result is `disconnected` when that connection is closed.
   */
  readonly isSameConnectionOnly?: boolean;
  /** True for a poll that is sent outside of the poll loop, and acknowledges nothing. */
  readonly isExtra?: boolean;
}

/** Calls to one incarnation of an endpoint. Each carries the leader's fencing token. */
export interface EndpointClient {
  sendStart(command: StartCommand, leaseMs: number, timeoutMs: number): Promise<CommandResult>;
  sendStop(task: TaskName, run: number, timeoutMs: number): Promise<CommandResult>;
  /** Requests the status; renews the lease and acknowledges ends as far as the request says so. */
  sendPoll(request: PollRequest): Promise<PollResult>;
  stop(): Promise<void>;
}
