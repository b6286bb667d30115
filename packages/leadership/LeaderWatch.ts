import { connect, type Socket } from 'node:net';
import { waitForDelay } from '../common/waitForDelay';
import { isHostPort } from '../common/isHostPort';
import { parseHostPort } from '../common/parseHostPort';

interface LeaderWatchOptions {
  /** Called with the id of the leader's process when its address refuses a connection. */
  readonly handleProcessEnded: (process: string) => void;
}

interface WatchedLeader {
  readonly process: string;
  readonly address: string;
}

const CONNECT_TIMEOUT_MS = 400;
const RECONNECT_DELAY_MS = 300;
const CONNECTION_REFUSED_CODE = 'ECONNREFUSED';

/**
 * Detects the end of the leader's process by an idle connection to its box, sooner than by missing heartbeats in the log. This is only
 * a hint to claim early: leadership is decided by the epochs in the log.
 */
export class LeaderWatch {
  private watchedLeader: WatchedLeader | undefined;
  private socket: Socket | undefined;

  constructor(private readonly options: LeaderWatchOptions) {}

  /**
   * Sets the process to watch, and connects to it; undefined to watch none. One with an invalid address is not watched. Keeps the connection when
   * process and address are unchanged.
   */
  setLeader(watched: WatchedLeader | undefined): void {
    if (
      watched?.process === this.watchedLeader?.process &&
      watched?.address === this.watchedLeader?.address
    ) {
      return;
    }
    this.watchedLeader = watched;
    this.socket?.destroy();
    this.socket = undefined;
    if (watched !== undefined) {
      this.startConnection(watched);
    }
  }

  private startConnection(watched: WatchedLeader): void {
    if (!isHostPort(watched.address)) {
      return;
    }
    const { host, port } = parseHostPort(watched.address);
    const socket = connect({ host, port });
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    this.socket = socket;
    let connectedAt = Infinity;
    socket.once('connect', () => {
      connectedAt = performance.now();
      clearTimeout(timer);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === CONNECTION_REFUSED_CODE && this.watchedLeader === watched) {
        this.options.handleProcessEnded(watched.process);
      }
    });
    socket.once('close', () => {
      clearTimeout(timer);
      void this.retryConnection(watched, performance.now() - connectedAt >= RECONNECT_DELAY_MS);
    });
  }

  private async retryConnection(watched: WatchedLeader, wasEstablished: boolean): Promise<void> {
    // An established connection is reopened at once: a refusal shows that the process has ended. The delay keeps connections that are
    // closed right after they open from being reopened in a tight loop.
    await waitForDelay(wasEstablished ? 0 : RECONNECT_DELAY_MS);
    if (this.watchedLeader === watched) {
      this.startConnection(watched);
    }
  }
}
