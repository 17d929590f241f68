/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Computes the maximum flow through a network with Dinic's algorithm. */
final class MaxFlow {

    private static final int UNREACHED = -1;

    private final List<List<Edge>> adjacency = new ArrayList<>();
    private final int[] level;
    private final int[] nextEdge;

    /** An edge of the residual network; its capacity is what may still flow. */
    private static final class Edge {
        final int to;
        final int reverse;
        long capacity;

        Edge(int to, int reverse, long capacity) {
            this.to = to;
            this.reverse = reverse;
            this.capacity = capacity;
        }
    }

    /** Creates a network with the given number of nodes and no edges. */
    MaxFlow(int nodes) {
        for (int i = 0; i < nodes; i++) {
            adjacency.add(new ArrayList<>());
        }
        level = new int[nodes];
        nextEdge = new int[nodes];
    }

    /** Adds a directed edge. */
    void addEdge(int from, int to, long capacity) {
        List<Edge> forward = adjacency.get(from);
        List<Edge> backward = adjacency.get(to);
        forward.add(new Edge(to, backward.size(), capacity));
        backward.add(new Edge(from, forward.size() - 1, 0));
    }

    /** Returns the maximum flow. Consumes the capacities, so it can be called only once. */
    long maxFlow(int source, int sink) {
        long total = 0;
        while (buildLevels(source, sink)) {
            Arrays.fill(nextEdge, 0);
            long sent = augment(source, sink, Long.MAX_VALUE);
            while (sent > 0) {
                total += sent;
                sent = augment(source, sink, Long.MAX_VALUE);
            }
        }
        return total;
    }

    /** Computes each node's distance from the source; returns whether the sink is reachable. */
    private boolean buildLevels(int source, int sink) {
        Arrays.fill(level, UNREACHED);
        level[source] = 0;
        ArrayDeque<Integer> queue = new ArrayDeque<>(List.of(source));
        while (!queue.isEmpty()) {
            int node = queue.remove();
            for (Edge e : adjacency.get(node)) {
                if (e.capacity > 0 && level[e.to] == UNREACHED) {
                    level[e.to] = level[node] + 1;
                    queue.add(e.to);
                }
            }
        }
        return level[sink] != UNREACHED;
    }

    /** Sends flow along one shortest path, up to a limit; returns 0 if there is no such path left. */
    private long augment(int node, int sink, long limit) {
        if (node == sink) {
            return limit;
        }
        for (; nextEdge[node] < adjacency.get(node).size(); nextEdge[node]++) {
            Edge e = adjacency.get(node).get(nextEdge[node]);
            if (e.capacity > 0 && level[e.to] == level[node] + 1) {
                long sent = augment(e.to, sink, Math.min(limit, e.capacity));
                if (sent > 0) {
                    e.capacity -= sent;
                    adjacency.get(e.to).get(e.reverse).capacity += sent;
                    return sent;
                }
            }
        }
        return 0;
    }
}
