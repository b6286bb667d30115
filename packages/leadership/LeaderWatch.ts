import { connect, type Socket } from 'node:net';
import { startDelay } from '../common/startDelay';
import { toHostPort } from '../common/toHostPort';

interface LeaderWatchOptions {
  /** Called when the leader's process has certainly ended, as far as its box tells: its port refuses connections. */
  readonly handleEnded: (process: string) => void;
}

interface Watched {
  readonly process: string;
  readonly address: string;
}

const CONNECT_LIMIT_MS = 400;
const RETRY_MS = 300;
const NOBODY_LISTENS = 'ECONNREFUSED';

/**
 * Holds an idle connection to the leader's box. A process that ends closes it at once, which is noticed long before its
 * silence in the log. This is a hint to claim sooner, no proof: the log's epochs decide.
 */
export class LeaderWatch {
  private watched: Watched | undefined;
  private socket: Socket | undefined;

  constructor(private readonly options: LeaderWatchOptions) {}

  /** Watches a leader's process from now on; undefined watches none. */
  setLeader(watched: Watched | undefined): void {
    if (watched?.process === this.watched?.process && watched?.address === this.watched?.address) {
      return;
    }
    this.watched = watched;
    this.socket?.destroy();
    this.socket = undefined;
    if (watched !== undefined) {
      this.startConnection(watched);
    }
  }

  private startConnection(watched: Watched): void {
    const { host, port } = toHostPort(watched.address);
    const socket = connect({ host, port });
    const timer = setTimeout(() => socket.destroy(), CONNECT_LIMIT_MS);
    this.socket = socket;
    let stoodFrom = Infinity;
    socket.once('connect', () => {
      stoodFrom = performance.now();
      clearTimeout(timer);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === NOBODY_LISTENS && this.watched === watched) {
        this.options.handleEnded(watched.process);
      }
    });
    socket.once('close', () => {
      clearTimeout(timer);
      void this.startAgain(watched, performance.now() - stoodFrom >= RETRY_MS);
    });
  }

  private async startAgain(watched: Watched, hasStood: boolean): Promise<void> {
    // A connection that had stood is opened again at once: if nobody listens any more, the process has ended. One that is closed as soon as
    // it stands would be opened without end.
    await startDelay(hasStood ? 0 : RETRY_MS);
    if (this.watched === watched) {
      this.startConnection(watched);
    }
  }
}
