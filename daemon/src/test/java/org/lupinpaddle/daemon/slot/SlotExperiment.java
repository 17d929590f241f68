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
 * Prints the measurements of the slots' decisions as tables in Markdown. Arguments are seeds; each row is
 * the mean over the seeds, with the lowest and highest urgent p99 as spread. All rows of a table use the
 * same seeds and virtual time, so they compare policies and not machines.
 */
public final class SlotExperiment {

    private static final long MINUTE = 60_000;
    private static final long RUN = 10 * MINUTE;

    private SlotExperiment() {}

    /** Runs all tables for the seeds given, or for three fixed ones. */
    public static void main(String[] args) {
        long[] seeds = args.length == 0
                ? new long[] {1, 2, 3}
                : Arrays.stream(args).mapToLong(Long::parseLong).toArray();
        if (Boolean.getBoolean("runTimesOnly")) {
            wrongRunTimes(seeds);
            return;
        }
        policies(seeds);
        badWorkers(seeds);
        overload(seeds);
        poison(seeds);
        failures(seeds);
        wrongRunTimes(seeds);
    }

    private static SimFleet run(long seed, SimPolicy policy, double load, Consumer<SimFleet> setUp) {
        SimFleet f = new SimFleet(seed, policy, load);
        setUp.accept(f);
        f.time.runUntil(RUN);
        f.countGoodEjected();
        return f;
    }

    private static void row(String name, long[] seeds, SimPolicy policy, double load, Consumer<SimFleet> setUp) {
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
        long low = Long.MAX_VALUE;
        long high = 0;
        double p99 = 0;
        for (long seed : seeds) {
            SimFleet f = run(seed, policy, load, setUp);
            SimFigures g = f.figures;
            long u = g.wait(Urgency.URGENT, 99);
            p50 += g.wait(Urgency.URGENT, 50);
            p99 += u;
            low = Math.min(low, u);
            high = Math.max(high, u);
            normal += g.wait(Urgency.NORMAL, 99);
            mayWait += g.wait(Urgency.MAY_WAIT, 99);
            refusals += g.perJob(g.refusals);
            moves += g.perJob(Math.max(0, g.attempts - g.jobs));
            messages += g.perJob(g.messages);
            bytes += g.bytes / (RUN / 1_000.0) / 9;
            used += f.shareUsed(0, RUN);
            failed += g.failedForCaller;
            lost += g.lost;
            ejected += g.goodEjected;
        }
        int n = seeds.length;
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f | %.0f | %.0f (%d-%d) | %.0f | %.0f | %.2f | %.2f | %.1f | %.0f | %.2f | %.0f | %.0f | %.1f |%n",
                name,
                load,
                p50 / n,
                p99 / n,
                low,
                high,
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

    private static void head(String title) {
        System.out.println("\n### " + title + "\n");
        System.out.println(
                "| case | load | urgent p50 ms | urgent p99 ms (spread) | normal p99 | may-wait p99 "
                        + "| refusals/job | moves/job | messages/job | bytes/s/entry | slots used | given up | lost to a bad worker | good ejected |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    }

    private static void policies(long[] seeds) {
        head("Who grants the slots");
        for (double load : new double[] {0.5, 0.7, 0.9, 0.97}) {
            for (SimPolicy p : SimPolicy.values()) {
                row(p.name(), seeds, p, load, f -> {});
            }
        }
    }

    private static void badWorkers(long[] seeds) {
        head("A worker that fails everything it starts, from the first minute");
        for (SimWorker.Manner m : new SimWorker.Manner[] {SimWorker.Manner.FAILS_FAST, SimWorker.Manner.FAILS_SLOWLY}) {
            for (SimPolicy p : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
                row(p + " " + m, seeds, p, 0.7, f -> f.time.after(MINUTE, () -> f.worker("w3").manner = m));
            }
        }
    }

    private static void overload(long[] seeds) {
        System.out.println("\n### Load beyond capacity: minutes 2 to 4 at the factor, before and after at 0.7\n");
        System.out.println("| policy | factor | goodput/s before | during | urgent p99 ms, whole run "
                + "| seconds after the load to 95% of before |");
        System.out.println("|---|---|---|---|---|---|");
        for (SimPolicy p : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
            for (double factor : new double[] {1, 2, 5}) {
                overloadRow(seeds, p, factor);
            }
        }
    }

    private static void overloadRow(long[] seeds, SimPolicy policy, double factor) {
        double before = 0;
        double during = 0;
        double urgent = 0;
        double recovery = 0;
        for (long seed : seeds) {
            SimFleet f = run(seed, policy, 0.7, x -> {
                x.time.after(2 * MINUTE, () -> x.load = factor);
                x.time.after(4 * MINUTE, () -> x.load = 0.7);
            });
            long[] g = f.figures.goodputBySecond;
            double b = mean(g, 30, 120);
            before += b;
            during += mean(g, 125, 240);
            urgent += f.figures.wait(Urgency.URGENT, 99);
            recovery += secondsToReach(g, 240, 0.95 * b);
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

    private static int secondsToReach(long[] perSecond, int from, double level) {
        for (int s = from; s < 590; s++) {
            if (mean(perSecond, s, s + 10) >= level) {
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
        for (SimPolicy p : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
            SimFleet f = run(seeds[0], p, 0.7, x -> x.poisonShare = 0.05);
            SimFigures g = f.figures;
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %d | %d | %d | %d | %d of %d |%n",
                    p,
                    g.poisonAttempts.getValueAtPercentile(50),
                    g.poisonAttempts.getValueAtPercentile(99),
                    g.poisonAttempts.getMaxValue(),
                    g.goodEjected,
                    g.failedForCaller,
                    g.jobs);
        }
    }

    private static void failures(long[] seeds) {
        head("Failures of entries and halls, at load 0.7, one of each kind from minute 3");
        SimPolicy p = SimPolicy.REGION_OWNER;
        row("none", seeds, p, 0.7, f -> {});
        row("owner killed", seeds, p, 0.7, f -> f.time.after(3 * MINUTE, () -> f.kill(ownerOf(f))));
        row(
                "owner frozen for 30 s",
                seeds,
                p,
                0.7,
                f -> f.time.after(3 * MINUTE, () -> {
                    String owner = ownerOf(f);
                    f.freeze(owner);
                    f.time.after(30_000, () -> f.thaw(owner));
                }));
        row(
                "hall cut off for 60 s",
                seeds,
                p,
                0.7,
                f -> f.time.after(3 * MINUTE, () -> {
                    f.cut("hall0", true);
                    f.time.after(60_000, () -> f.cut("hall0", false));
                }));
    }

    // The load is set so that the slots' use stays near 0.7 with the longer runs.
    private static void wrongRunTimes(long[] seeds) {
        head("Run times far off what was learned");
        for (SimPolicy p : new SimPolicy[] {SimPolicy.REGION_OWNER, SimPolicy.TWO_CHOICES}) {
            // A deadline that the longer runs meet: else they expire while they run and are tried again.
            row(p + " ten times longer from minute 2 to 4", seeds, p, 0.7, f -> {
                f.deadlineMillis = RUN;
                f.time.after(2 * MINUTE, () -> {
                    f.runFactor = 10;
                    f.load = 0.07;
                });
                f.time.after(4 * MINUTE, () -> {
                    f.runFactor = 1;
                    f.load = 0.7;
                });
            });
            // The mean of ten to a power evenly from -1 to 1 is 2.15.
            row(p + " each off by up to ten either way", seeds, p, 0.7 / 2.15, f -> {
                f.deadlineMillis = RUN;
                f.runsOff = true;
            });
        }
    }

    private static String ownerOf(SimFleet f) {
        return f.busiestOwner();
    }
}
