import { BoxClients } from '../boxes/BoxClients';
import { BoxDirectory } from '../boxes/BoxDirectory';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { waitForDelay } from '../common/waitForDelay';
import type { JobCaller } from '../customers/JobCaller';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import type { LeaderRecord } from '../leadership/LeaderRecord';
import type { WitnessReport } from '../leadership/WitnessReport';
import type { LogWrite } from '../store/LogWrite';
import type { RecordWriter } from '../store/RecordWriter';
import type { LeaderContact } from './LeaderContact';
import { LeaderAnnouncer } from './LeaderAnnouncer';
import type { ServeSettings } from './ServeSettings';

interface OtherBoxesOptions {
  readonly settings: ServeSettings;
  /** Id of this process. */
  readonly process: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the record of the current leader; undefined while none is known. */
  readonly getLeader: () => LeaderRecord | undefined;
  /** Returns whether this process leads and is not stopping. */
  readonly isLeading: () => boolean;
  readonly isStopping: () => boolean;
  /** Returns whether the response of the box may say when leases of an earlier leader have expired. */
  readonly isResponseAwaited: (box: string) => boolean;
  /** Handles the process of another box that has confirmed the announcement of an epoch. */
  readonly handleBoxProcess: (report: WitnessReport, announcedEpoch: number) => void;
}

/** Timeout of one write of this box's announcement. */
const ANNOUNCEMENT_WRITE_TIMEOUT_MS = 20_000;
const ANNOUNCEMENT_RETRY_DELAY_MS = 1000;

/** Addresses and clients of the other boxes, and the announcements of this box and its leadership to them. */
export class OtherBoxes {
  readonly directory = new BoxDirectory();
  readonly clients: BoxClients;
  private readonly leaderAnnouncer: LeaderAnnouncer;

  constructor(private readonly options: OtherBoxesOptions) {
    const { settings, clock, logger } = options;
    this.clients = new BoxClients(this.directory, settings, { clock, logger });
    this.leaderAnnouncer = new LeaderAnnouncer({
      clock,
      logger,
      listOthers: () => this.clients.listOthers(),
      createLeaderAnnouncement: () => this.createLeaderAnnouncement(),
      isResponseAwaited: options.isResponseAwaited,
      handleBoxProcess: options.handleBoxProcess,
    });
  }

  /** Creates the record that announces this box's address and resources. */
  createBoxAnnouncement(): LogWrite {
    const { settings } = this.options;
    const value = BoxDirectory.formatAnnouncement(settings.internal, settings);
    return { key: BoxDirectory.toAnnouncementKey(settings.box), value };
  }

  /** Writes this box's announcement to the log, with retries until it succeeds or the process stops. */
  async writeBoxAnnouncement(writer: RecordWriter): Promise<void> {
    const { clock, isStopping } = this.options;
    const write = this.createBoxAnnouncement();
    while (!isStopping()) {
      const outcome = await writer.writeRecord(write, clock.getNow() + ANNOUNCEMENT_WRITE_TIMEOUT_MS);
      if (outcome === 'written') {
        return;
      }
      await waitForDelay(ANNOUNCEMENT_RETRY_DELAY_MS);
    }
  }

  /** Sends the leader announcements that are due, while this box leads, and probes of other boxes. Called periodically. */
  handleTick(): void {
    this.clients.handleTick(this.options.isLeading());
    this.leaderAnnouncer.handleTick();
  }

  /** Records the address and resources of the box that announced its leadership. */
  applyLeaderAnnouncement({ record, address, cores, linkMbps }: LeaderAnnouncement): void {
    this.directory.setBox(record.box, address, { cores, linkMbps });
    this.clients.getPresence().recordAnnouncement(record.box);
  }

  /** Returns whether and how the current leader can be reached. */
  getLeaderContact(): LeaderContact {
    const box = this.options.getLeader()?.box;
    if (box === undefined) {
      return { kind: 'unknown' };
    }
    if (box === this.options.settings.box) {
      return { kind: 'self' };
    }
    const client = this.clients.findClient(box);
    return client === undefined ? { kind: 'noAddress', box } : { kind: 'known', box, client };
  }

  /** Requests a job's state from the leader; undefined when this box leads, or the leader cannot be reached or returns no state in time. */
  async requestJobState(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    const contact = this.getLeaderContact();
    return contact.kind === 'known' ? contact.client.requestJobState(id, caller, timeoutMs) : undefined;
  }

  private createLeaderAnnouncement(): LeaderAnnouncement | undefined {
    const { settings, process, getLeader, isLeading } = this.options;
    const record = getLeader();
    const isOwnRecord = record?.process === process;
    const { internal, cores, linkMbps } = settings;
    return isOwnRecord && isLeading() ? { record, address: internal, cores, linkMbps } : undefined;
  }
}
