import { describe, expect, it } from 'vitest';
import { createTroubleSchedule } from '../dev/soak/createTroubleSchedule';
import { SoakChoices } from '../dev/soak/SoakChoices';
import { createRandom } from '../packages/common/createRandom';

const NAMES = ['first', 'second', 'third'];

describe('the troubles of a soak', () => {
  it('are the same in each run of a seed, so that a failure can be played again', () => {
    const schedules = [7, 7, 8].map((seed) => createTroubleSchedule(NAMES, 15_000, createRandom(seed)));
    expect(schedules[0]).toEqual(schedules[1]);
    expect(schedules[0]).not.toEqual(schedules[2]);
    expect(schedules[0]!.length).toBeGreaterThan(20);
    expect(schedules[0]!.every(({ atMs }) => atMs < 15_000)).toBe(true);
  });

  it('choose alike whatever other troubles choose meanwhile', () => {
    const [alone, beside, other] = [5, 5, 6].map((seed) => new SoakChoices(createRandom(seed)));
    const chooseTwice = (choices: SoakChoices, between: () => void): readonly number[] => {
      choices.chooseUpTo(100);
      between();
      choices.chooseUpTo(100);
      return choices.chosen;
    };
    const expected = chooseTwice(alone!, () => undefined);
    expect(chooseTwice(beside!, () => void other!.chooseUpTo(100))).toEqual(expected);
  });
});
