import type { TeamName } from '../common/TeamName';
import type { Team } from '../table/Team';
import { toShare } from './toShare';

interface Usage {
  running: number;
  waiting: number;
}

/** Counts what each team has running and waiting in this process, against its share of the team's quota. */
export class TeamUsage {
  private readonly usage = new Map<TeamName, Usage>();
  private quotas = new Map<TeamName, Team>();

  constructor(
    private readonly shareIndex: number,
    private readonly shareCount: number,
  ) {}

  applyTeams(teams: readonly Team[]): void {
    this.quotas = new Map(teams.map((team) => [team.name, team]));
  }

  /** True while one more request of the team may wait. */
  hasQueueRoom(team: TeamName): boolean {
    const limit = this.quotas.get(team)?.maxQueued ?? 0;
    return limit === 0 || this.readUsage(team).waiting < limit;
  }

  /** True while one more task of the team may run. */
  hasRunRoom(team: TeamName): boolean {
    const limit = this.quotas.get(team)?.maxRunning ?? 0;
    return this.readUsage(team).running < toShare(limit, this.shareIndex, this.shareCount);
  }

  recordQueued(team: TeamName): void {
    this.readUsage(team).waiting += 1;
  }

  recordDequeued(team: TeamName): void {
    const usage = this.readUsage(team);
    usage.waiting -= 1;
    this.revokeIdle(team, usage);
  }

  recordStarted(team: TeamName): void {
    this.readUsage(team).running += 1;
  }

  recordEnded(team: TeamName): void {
    const usage = this.readUsage(team);
    usage.running -= 1;
    this.revokeIdle(team, usage);
  }

  private readUsage(team: TeamName): Usage {
    const known = this.usage.get(team);
    if (known !== undefined) {
      return known;
    }
    const created = { running: 0, waiting: 0 };
    this.usage.set(team, created);
    return created;
  }

  private revokeIdle(team: TeamName, usage: Usage): void {
    if (usage.running === 0 && usage.waiting === 0) {
      this.usage.delete(team);
    }
  }
}
