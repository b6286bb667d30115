import type { TaskName } from '../../jobs/TaskName';
import type { PollResult } from './PollResult';
import type { CommandResult } from './CommandResult';
import type { StartCommand } from './StartCommand';

interface PollRequest {
  /** Acknowledges ends up to this sequence number, which the endpoint may forget; 0 acknowledges none. */
  readonly lastSeen: number;
  /** Length of the new lease, in milliseconds; undefined doesn't renew the lease. */
  readonly leaseMs: number | undefined;
  /** Longest time that the endpoint may delay its response until a run ends, in milliseconds. */
  readonly waitMs: number;
  readonly timeoutMs: number;
  /** Sends the poll only over the connection of the last response: it acknowledges what that process listed. */
  readonly isContinued?: boolean;
  /** The poll is sent beside the poll loop, and acknowledges nothing. */
  readonly isExtra?: boolean;
}

/** Calls to one incarnation of an endpoint. Each carries the leader's fencing token. */
export interface EndpointClient {
  sendStart(command: StartCommand, leaseMs: number, timeoutMs: number): Promise<CommandResult>;
  sendStop(task: TaskName, run: number, timeoutMs: number): Promise<CommandResult>;
  /** Renews the lease, acknowledges ends and requests the status. */
  sendPoll(request: PollRequest): Promise<PollResult>;
  stop(): Promise<void>;
}
