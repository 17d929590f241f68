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
package org.lupinpaddle.daemon.slot;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;
import org.lupinpaddle.core.common.Urgency;

/**
 * Simulates slot policies and prints the results as Markdown tables. The arguments are seeds; each row is the mean over the
 * seeds, with the lowest and highest urgent p99 as spread. All rows of a table use the same seeds and virtual time, so that
 * they compare policies independently of the machine.
 */
public final class SlotExperiment {

    private static final long MINUTE_MILLIS = 60_000;
    private static final long RUN_MILLIS = 10 * MINUTE_MILLIS;

    private SlotExperiment() {}

    /** Prints all tables for the given seeds, or for three fixed seeds. */
    public static void main(String[] args) {
        long[] seeds = args.length == 0
                ? new long[] {1, 2, 3}
                : Arrays.stream(args).mapToLong(Long::parseLong).toArray();
        if (Boolean.getBoolean("runTimesOnly")) {
            wrongRunTimes(seeds);
            return;
        }
        policies(seeds);
        failingWorkers(seeds);
        overload(seeds);
        poison(seeds);
        failures(seeds);
        wrongRunTimes(seeds);
    }

    private static SimFleet run(long seed, SimPolicy policy, double load, Consumer<SimFleet> setUp) {
        SimFleet fleet = new SimFleet(seed, policy, load);
        setUp.accept(fleet);
        fleet.time.runUntil(RUN_MILLIS);
        fleet.countHealthyEjected();
        return fleet;
    }

    private static void printRow(String name, long[] seeds, SimPolicy policy, double load, Consumer<SimFleet> setUp) {
        double p50 = 0;
        double normal = 0;
        double mayWait = 0;
        double refusals = 0;
        double moves = 0;
        double messages = 0;
        double bytes = 0;
        double used = 0;
        double failed = 0;
        double lost = 0;
        double ejected = 0;
        long lowestP99 = Long.MAX_VALUE;
        long highestP99 = 0;
        double p99 = 0;
        for (long seed : seeds) {
            SimFleet fleet = run(seed, policy, load, setUp);
            SimStatistics g = fleet.statistics;
            long urgentP99 = g.waitPercentile(Urgency.URGENT, 99);
            p50 += g.waitPercentile(Urgency.URGENT, 50);
            p99 += urgentP99;
            lowestP99 = Math.min(lowestP99, urgentP99);
            highestP99 = Math.max(highestP99, urgentP99);
            normal += g.waitPercentile(Urgency.NORMAL, 99);
            mayWait += g.waitPercentile(Urgency.MAY_WAIT, 99);
            refusals += g.perJob(g.refusals);
            moves += g.perJob(Math.max(0, g.attempts - g.jobs));
            messages += g.perJob(g.messages);
            bytes += g.bytes / (RUN_MILLIS / 1_000.0) / 9;
            used += fleet.shareUsed(0, RUN_MILLIS);
            failed += g.failedForCaller;
            lost += g.lost;
            ejected += g.healthyEjected;
        }
        int n = seeds.length;
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f | %.0f | %.0f (%d-%d) | %.0f | %.0f | %.2f | %.2f | %.1f | %.0f | %.2f | %.0f | %.0f | %.1f |%n",
                name,
                load,
                p50 / n,
                p99 / n,
                lowestP99,
                highestP99,
                normal / n,
                mayWait / n,
                refusals / n,
                moves / n,
                messages / n,
                bytes / n,
                used / n,
                failed / n,
                lost / n,
                ejected / n);
    }

    private static void printHeader(String title) {
        System.out.println("\n### " + title + "\n");
        System.out.println(
                "| case | load | urgent p50 ms | urgent p99 ms (spread) | normal p99 | may-wait p99 "
                        + "| refusals/job | moves/job | messages/job | bytes/s/entry | slots used | given up | lost to a bad worker | good ejected |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    }

    private static void policies(long[] seeds) {
        printHeader("Who grants the slots");
        for (double load : new double[] {0.5, 0.7, 0.9, 0.97}) {
            for (SimPolicy policy : SimPolicy.values()) {
                printRow(policy.name(), seeds, policy, load, fleet -> {});
            }
        }
    }

    private static void failingWorkers(long[] seeds) {
        printHeader("A worker that fails everything it starts, from the first minute");
        for (SimWorker.Behaviour behaviour :
                new SimWorker.Behaviour[] {SimWorker.Behaviour.FAILS_FAST, SimWorker.Behaviour.FAILS_SLOWLY}) {
            for (SimPolicy policy : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
                printRow(
                        policy + " " + behaviour,
                        seeds,
                        policy,
                        0.7,
                        fleet -> fleet.time.after(MINUTE_MILLIS, () -> fleet.worker("w3").behaviour = behaviour));
            }
        }
    }

    private static void overload(long[] seeds) {
        System.out.println("\n### Load beyond capacity: minutes 2 to 4 at the factor, before and after at 0.7\n");
        System.out.println("| policy | factor | goodput/s before | during | urgent p99 ms, whole run "
                + "| seconds after the load to 95% of before |");
        System.out.println("|---|---|---|---|---|---|");
        for (SimPolicy policy : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
            for (double factor : new double[] {1, 2, 5}) {
                overloadRow(seeds, policy, factor);
            }
        }
    }

    private static void overloadRow(long[] seeds, SimPolicy policy, double factor) {
        double before = 0;
        double during = 0;
        double urgent = 0;
        double recovery = 0;
        for (long seed : seeds) {
            SimFleet fleet = run(seed, policy, 0.7, x -> {
                x.time.after(2 * MINUTE_MILLIS, () -> x.load = factor);
                x.time.after(4 * MINUTE_MILLIS, () -> x.load = 0.7);
            });
            long[] g = fleet.statistics.goodputBySecond;
            double goodputBefore = mean(g, 30, 120);
            before += goodputBefore;
            during += mean(g, 125, 240);
            urgent += fleet.statistics.waitPercentile(Urgency.URGENT, 99);
            recovery += secondsToReach(g, 240, 0.95 * goodputBefore);
        }
        int n = seeds.length;
        System.out.printf(
                Locale.ROOT,
                "| %s | %.0fx | %.1f | %.1f | %.0f | %.0f |%n",
                policy,
                factor,
                before / n,
                during / n,
                urgent / n,
                recovery / n);
    }

    private static double mean(long[] perSecond, int from, int until) {
        return Arrays.stream(perSecond, from, until).average().orElse(0);
    }

    private static int secondsToReach(long[] perSecond, int from, double target) {
        for (int s = from; s < 590; s++) {
            if (mean(perSecond, s, s + 10) >= target) {
                return s - from;
            }
        }
        return 350;
    }

    private static void poison(long[] seeds) {
        System.out.println("\n### Jobs that can run nowhere: a twentieth of all, as when a declared size is a tenth "
                + "of the true one\n");
        System.out.println("| policy | attempts until the final verdict, p50 | p99 | most | good ejected "
                + "| good jobs failed of all |");
        System.out.println("|---|---|---|---|---|---|");
        for (SimPolicy policy : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
            SimFleet fleet = run(seeds[0], policy, 0.7, x -> x.poisonShare = 0.05);
            SimStatistics g = fleet.statistics;
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %d | %d | %d | %d | %d of %d |%n",
                    policy,
                    g.poisonAttempts.getValueAtPercentile(50),
                    g.poisonAttempts.getValueAtPercentile(99),
                    g.poisonAttempts.getMaxValue(),
                    g.healthyEjected,
                    g.failedForCaller,
                    g.jobs);
        }
    }

    private static void failures(long[] seeds) {
        printHeader("Failures of entries and halls, at load 0.7, one of each kind from minute 3");
        SimPolicy policy = SimPolicy.REGION_OWNER;
        printRow("none", seeds, policy, 0.7, fleet -> {});
        printRow(
                "owner killed",
                seeds,
                policy,
                0.7,
                fleet -> fleet.time.after(3 * MINUTE_MILLIS, () -> fleet.kill(ownerOf(fleet))));
        printRow(
                "owner frozen for 30 s",
                seeds,
                policy,
                0.7,
                fleet -> fleet.time.after(3 * MINUTE_MILLIS, () -> {
                    String owner = ownerOf(fleet);
                    fleet.freeze(owner);
                    fleet.time.after(30_000, () -> fleet.unfreeze(owner));
                }));
        printRow(
                "hall cut off for 60 s",
                seeds,
                policy,
                0.7,
                fleet -> fleet.time.after(3 * MINUTE_MILLIS, () -> {
                    fleet.setCut("hall0", true);
                    fleet.time.after(60_000, () -> fleet.setCut("hall0", false));
                }));
    }

    // The load is reduced so that slot utilization stays near 0.7 with the longer runs.
    private static void wrongRunTimes(long[] seeds) {
        printHeader("Run times far off what was learned");
        for (SimPolicy policy : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
            // The deadline allows for the longer runs, which would otherwise expire while running and be retried.
            printRow(policy + " ten times longer from minute 2 to 4", seeds, policy, 0.7, fleet -> {
                fleet.deadlineMillis = RUN_MILLIS;
                fleet.time.after(2 * MINUTE_MILLIS, () -> {
                    fleet.runFactor = 10;
                    fleet.load = 0.07;
                });
                fleet.time.after(4 * MINUTE_MILLIS, () -> {
                    fleet.runFactor = 1;
                    fleet.load = 0.7;
                });
            });
            // 2.15 is the mean of 10^x for x uniformly distributed from -1 to 1.
            printRow(policy + " each off by up to ten either way", seeds, policy, 0.7 / 2.15, fleet -> {
                fleet.deadlineMillis = RUN_MILLIS;
                fleet.varyRunTimes = true;
            });
        }
    }

    private static String ownerOf(SimFleet fleet) {
        return fleet.busiestOwner();
    }
}
