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

import static org.lupinpaddle.model.RuleAssertions.assertRulesHold;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Histories in which a queue that requires advice has a peak of jobs. Guards against a peak after which the service works
 * on nothing but calls that were given up.
 */
class AdviceTest {

    @Test
    void satisfiesRulesWithoutOtherFaults() {
        LongStream.range(0, 100)
                .parallel()
                .forEach(seed -> assertRulesHold(seed, 0, new World(seed, 0).withAdvice(seed)));
    }

    /** Guards against jobs that go by the configuration under which they were accepted. */
    @Test
    void satisfiesRulesWhileTheRequirementChanges() {
        LongStream.range(0, 100)
                .parallel()
                .forEach(seed -> assertRulesHold(seed, 0, new World(seed, 0).withAdviceChanges(seed)));
        LongStream.range(0, 60)
                .parallel()
                .forEach(seed -> assertRulesHold(seed, 4, new World(seed, 4).withAdviceChanges(seed)));
    }

    /** The service is slow, loses calls or refuses them, while owners, entries and workers are lost. */
    @Test
    void satisfiesRulesUnderOtherFaults() {
        LongStream.range(0, 150)
                .parallel()
                .forEach(seed -> assertRulesHold(seed, 4, new World(seed, 4).withAdvice(seed)));
    }
}
