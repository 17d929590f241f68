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
package org.lupinpaddle.core.request;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Counts the simulated histories in which a non-repeatable job runs more than once, with and without claims. */
public final class ClaimExperiment {

    private static final int HISTORIES = 20_000;

    private ClaimExperiment() {}

    /** Prints a row for each setting. */
    public static void main(String[] args) {
        System.out.println("| claims | histories of an unsafe job tried up to 4 times | it ran more than once |");
        System.out.println("|---|---|---|");
        printRow("kept", null);
        printRow("off", JobSimulation.DisabledRule.NO_CLAIM);
    }

    private static void printRow(String name, JobSimulation.@Nullable DisabledRule disabledRule) {
        int repeated = 0;
        for (long seed = 0; seed < HISTORIES; seed++) {
            JobSimulation w = new JobSimulation(seed, false, disabledRule);
            try {
                w.run();
            } catch (AssertionError e) {
                repeated += w.runs() > 1 ? 1 : 0;
            }
        }
        System.out.printf(Locale.ROOT, "| %s | %d | %d |%n", name, HISTORIES, repeated);
    }
}
