import { createTRPCClient, createWSClient, wsLink, type TRPCClient } from '@trpc/client';
import type { ByteCounter } from '../common/ByteCounter';
import type { Result } from '../common/Result';
import { formatError } from '../common/formatError';
import { createConnectedSocket } from '../gateway/createConnectedSocket';
import { createCountedSocket } from './createCountedSocket';
import { PEERS } from './constants';
import type { PeerAddress } from './PeerAddress';
import type { PeerError } from './PeerError';
import type { PeerMessage } from './PeerMessage';
import type { PeerRouter } from './PeerRouter';
import type { TableAnswer } from './TableAnswer';

/** The link of this process to one other entry box. */
export class PeerClient {
  private socket: ReturnType<typeof createWSClient>;
  private trpc: TRPCClient<PeerRouter>;

  constructor(
    readonly address: PeerAddress,
    /** Longest wait for an answer, in milliseconds. */
    private readonly timeoutMs: number,
    private readonly counter: ByteCounter,
  ) {
    this.socket = this.createSocket();
    this.trpc = this.createClient();
  }

  /** Sends a heartbeat. Whatever fails, the answer comes within the time-out. */
  async sendHeartbeat(message: PeerMessage): Promise<Result<PeerMessage, PeerError>> {
    return this.send((signal) => this.trpc.heartbeat.mutate(message, { signal }));
  }

  /** Reads the peer's table records after an offset. */
  async readTable(after: number): Promise<Result<TableAnswer, PeerError>> {
    return this.send((signal) => this.trpc.table.query({ after }, { signal }));
  }

  stop(): void {
    this.socket.close().catch(() => undefined);
  }

  private async send<Answer>(
    call: (signal: AbortSignal) => Promise<Answer>,
  ): Promise<Result<Answer, PeerError>> {
    try {
      return { ok: true, value: await call(AbortSignal.timeout(this.timeoutMs)) };
    } catch (thrown) {
      this.renewSocket();
      return { ok: false, error: await this.checkRefusal(formatError(thrown)) };
    }
  }

  /** A link that failed may hold a connection that was cut silently: the next call gets a new one. */
  private renewSocket(): void {
    this.stop();
    this.socket = this.createSocket();
    this.trpc = this.createClient();
  }

  /** Tells a port that refuses, which proves that nobody listens, from mere silence. */
  private async checkRefusal(reason: string): Promise<PeerError> {
    const probe = await createConnectedSocket({ address: this.address.peers, timeoutMs: this.timeoutMs });
    if (probe.ok) {
      probe.value.destroy();
      return { kind: 'silent', reason };
    }
    return probe.error === 'ECONNREFUSED' ? { kind: 'refusing' } : { kind: 'silent', reason: probe.error };
  }

  private createSocket(): ReturnType<typeof createWSClient> {
    return createWSClient({
      url: `ws://${this.address.peers}${PEERS.path}`,
      WebSocket: createCountedSocket(this.counter),
      lazy: { enabled: true, closeMs: 60_000 },
      retryDelayMs: () => 60_000,
    });
  }

  private createClient(): TRPCClient<PeerRouter> {
    return createTRPCClient<PeerRouter>({ links: [wsLink({ client: this.socket })] });
  }
}
