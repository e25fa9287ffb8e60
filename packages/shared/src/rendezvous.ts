import * as hash from './hash.js';

interface ScoredNode {
  readonly node: string;
  readonly score: number;
}

const compareScores = (a: ScoredNode, b: ScoredNode): number =>
  b.score - a.score || (a.node < b.node ? -1 : 1);

/**
 * Returns the first `count` nodes for a key, ordered by rendezvous (highest random weight) hashing.
 * The same set of nodes always gives the same order, and removing a node moves only its own keys.
 */
export const pickRendezvous = (
  key: string,
  nodes: readonly string[],
  count: number,
): readonly string[] =>
  nodes
    .map((node): ScoredNode => ({ node, score: hash.hashText(`${key}|${node}`) }))
    .sort(compareScores)
    .slice(0, count)
    .map((scored) => scored.node);
