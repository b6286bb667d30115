import type { TaskName } from '../../jobs/TaskName';
import type { PollResult } from './PollResult';
import type { CommandResult } from './CommandResult';
import type { StartCommand } from './StartCommand';

interface HoldRequest {
  /** Ends up to this number are durable and may be forgotten. */
  readonly lastSeen: number;
  /** New lease from now on; undefined looks without renewing. */
  readonly leaseMs: number | undefined;
  /** The answer may wait this long for an end. */
  readonly waitMs: number;
  readonly timeoutMs: number;
  /** The look acknowledges what the last answer listed: it goes to the process that gave it, over the same connection, or is not sent. */
  readonly isContinued?: boolean;
  /** The look goes beside the loop of looks. It must not acknowledge anything. */
  readonly isExtra?: boolean;
}

/** What the product needs of one endpoint. Every call carries the caller's fencing token. */
export interface EndpointClient {
  sendStart(order: StartCommand, leaseMs: number, timeoutMs: number): Promise<CommandResult>;
  sendStop(task: TaskName, run: number, timeoutMs: number): Promise<CommandResult>;
  sendPoll(request: HoldRequest): Promise<PollResult>;
  stop(): Promise<void>;
}
