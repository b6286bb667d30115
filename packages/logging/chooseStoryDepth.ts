/** Room that is kept free for a sudden rise: stories are chosen by the load of seconds that are over. */
const STORY_SHARE = 0.75;
/** What stories have even beside a flood of graver lines. */
const LEAST_STORY_SHARE = 0.1;
/** One in 65,536 jobs: beyond it the floors of the budget bound the volume alone. */
const MAX_DEPTH = 16;

/** The depth from which on jobs are told whole, so that their lines fit beside the others. All rates are lines a second. */
export const chooseStoryDepth = (bound: number, storyRate: number, otherRate: number): number => {
  const room = Math.max(bound * LEAST_STORY_SHARE, bound * STORY_SHARE - otherRate);
  const depth = Math.ceil(Math.log2(Math.max(1, storyRate / room)));
  return Math.min(MAX_DEPTH, depth);
};
