package eiderscale;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.core.domain.JavaClasses;

/** Which packages know which, and which decide and hold no I/O, no clock and no threads. */
@AnalyzeClasses(packages = "eiderscale", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    /** Packages without I/O, clock and threads. */
    private static final String[] PURE = {"eiderscale", "eiderscale.config",
        "eiderscale.check", "eiderscale.connections", "eiderscale.http.cache", "eiderscale.joining", "eiderscale.knowledge", "eiderscale.lab", "eiderscale.ledger",
        "eiderscale.maintenance", "eiderscale.plan", "eiderscale.recovery", "eiderscale.values", "eiderscale.zones"};

    private static final DescribedPredicate<JavaClass> MACHINERY = resideInAnyPackage("java.io..", "java.nio.file..",
            "java.nio.channels..", "java.util.concurrent..", "java.time", "java.util.logging..", "io.netty.channel..",
            "io.netty.bootstrap..").and(DescribedPredicate.not(nameMatching("java\\.io\\.(IOException|Serializable|"
            + "UncheckedIOException)|java\\.time\\.(OffsetDateTime|Instant)")));
    private static final DescribedPredicate<JavaCall<?>> TIME = DescribedPredicate.describe("asks for the time",
            call -> call.getTarget().getFullName().matches("java\\.lang\\.System\\.(nanoTime|currentTimeMillis)\\(.*"
                    + "|java\\.time\\..*\\.now\\(.*"));

    @ArchTest
    static final ArchRule WHAT_DECIDES_DOES_NO_IO = noClasses().that().resideInAnyPackage(PURE).should()
            .dependOnClassesThat(MACHINERY);

    @ArchTest
    static final ArchRule WHAT_DECIDES_READS_NO_CLOCK = noClasses().that().resideInAnyPackage(PURE).should()
            .callMethodWhere(TIME);

    @ArchTest
    static final ArchRule WHAT_DECIDES_STARTS_NO_THREADS = noClasses().that().resideInAnyPackage(PURE).should()
            .dependOnClassesThat().areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule THE_MODULE_KNOWS_NOBODY = noClasses().that().resideInAPackage("eiderscale").should()
            .dependOnClassesThat().resideInAPackage("eiderscale.*..");

    @ArchTest
    static final ArchRule CONFIG_KNOWS_THE_MODULES_INTERFACE_ALONE = noClasses().that()
            .resideInAPackage("eiderscale.config").should().dependOnClassesThat(resideInAPackage("eiderscale..")
            .and(DescribedPredicate.not(resideInAPackage("eiderscale.config")))
            .and(DescribedPredicate.not(nameMatching("eiderscale\\.Api(\\$.*)?"))));

    @ArchTest
    static final ArchRule CONNECTIONS_KNOW_NOBODY = noClasses().that().resideInAPackage("eiderscale.connections")
            .should().dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(
            resideInAPackage("eiderscale.connections"))));

    @ArchTest
    static final ArchRule THE_HTTP_CACHES_RULES_KNOW_NOBODY = noClasses().that()
            .resideInAPackage("eiderscale.http.cache").should().dependOnClassesThat(resideInAPackage("eiderscale..")
            .and(DescribedPredicate.not(resideInAPackage("eiderscale.http.cache"))));

    /** Routing, retries and hedging are the module's: net may start it and must not look inside. */
    @ArchTest
    static final ArchRule NET_DECIDES_NOTHING = noClasses().that().resideInAPackage("eiderscale.net").should()
            .dependOnClassesThat(nameMatching("eiderscale\\.(Candidates|Hedging|HostHealth|Admission|KeyOrder)"
            + "(\\$.*)?|com\\.tdunning\\..*"));

    @ArchTest
    static final ArchRule NET_MAKES_THE_MODULE_IN_ONE_PLACE = noClasses().that().resideInAPackage("eiderscale.net")
            .and().doNotHaveSimpleName("Node").should().dependOnClassesThat().haveFullyQualifiedName(
            "eiderscale.Router");

    @ArchTest
    static final ArchRule NET_KNOWS_NOTHING_ABOVE_IT = noClasses().that().resideInAPackage("eiderscale.net").should()
            .dependOnClassesThat().resideInAnyPackage("eiderscale.cli", "eiderscale.sidecar", "eiderscale.standin",
            "eiderscale.sim", "eiderscale.platform", "eiderscale.meta");

    @ArchTest
    static final ArchRule META_KNOWS_NOTHING_ABOVE_IT = noClasses().that().resideInAPackage("eiderscale.meta")
            .should().dependOnClassesThat().resideInAnyPackage("eiderscale.cli", "eiderscale.sidecar",
            "eiderscale.standin", "eiderscale.sim", "eiderscale.platform");

    /** Which host, whether again, what is refused: no protocol decides that. */
    @ArchTest
    static final ArchRule META_KNOWS_OF_THE_MODULE_ITS_INTERFACE_ALONE = noClasses().that()
            .resideInAPackage("eiderscale.meta").should().dependOnClassesThat(resideInAPackage("eiderscale")
            .and(DescribedPredicate.not(nameMatching("eiderscale\\.Api(\\$.*)?"))));

    @ArchTest
    static final ArchRule THE_SIMULATORS_ADAPTER_HAS_NO_SOCKETS = noClasses().that()
            .resideInAPackage("eiderscale.sim").should().dependOnClassesThat().resideInAnyPackage("eiderscale.net",
            "io.netty..");

    @ArchTest
    static final ArchRule STAND_INS_KNOW_NOTHING_OF_THE_PROGRAM = noClasses().that()
            .resideInAPackage("eiderscale.standin").should().dependOnClassesThat(resideInAPackage("eiderscale..")
            .and(DescribedPredicate.not(resideInAPackage("eiderscale.standin"))));

    /** On the platform neither an application's file is read nor its command line: no path from net leads there. */
    @ArchTest
    static final ArchRule THE_PLATFORM_READS_NO_APPLICATIONS_FILE = noClasses().that().resideInAnyPackage(
            "eiderscale.platform", "eiderscale.net", "eiderscale.sim").should().transitivelyDependOnClassesThat().resideInAnyPackage(
            "org.tomlj..", "picocli..");

    /** Nothing of HTTP is loaded where it is not used, and on the platform it is not. */
    @ArchTest
    static final ArchRule THE_PLATFORM_LOADS_NO_HTTP = noClasses().that().resideInAnyPackage("eiderscale.platform",
            "eiderscale.meta", "eiderscale.net", "eiderscale.sim").should().transitivelyDependOnClassesThat()
            .resideInAnyPackage("eiderscale.http..", "com.github.benmanes..", "eiderscale.lab..", "org.apache.commons.rng..",
            "org.HdrHistogram..");

    /** A request goes by the settings that it came under: those in service are asked for where it is taken, and for limits of all. */
    @ArchTest
    static final ArchRule FRONTS_ASK_FOR_THE_SETTINGS_IN_SERVICE_WHERE_A_REQUEST_IS_TAKEN = noClasses().that().resideInAnyPackage(
            "eiderscale.meta", "eiderscale.http").and().doNotHaveSimpleName("MetaConnection").and().doNotHaveSimpleName("MetaFront")
            .and().doNotHaveSimpleName("HttpConnection").and().doNotHaveSimpleName("HttpFront").and().doNotHaveSimpleName("Turn")
            .should().callMethod("eiderscale.net.Core", "snapshot");

    /** The laboratory drives what decides, through the same interfaces as the sockets, and knows nothing of these. */
    @ArchTest
    static final ArchRule THE_LABORATORY_KNOWS_DECISIONS_ALONE = noClasses().that().resideInAPackage("eiderscale.lab").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAnyPackage("eiderscale",
            "eiderscale.config", "eiderscale.connections", "eiderscale.joining", "eiderscale.ledger", "eiderscale.maintenance", "eiderscale.lab"))));

    @ArchTest
    static final ArchRule THE_PLANNER_KNOWS_FILES_AND_SETTINGS_ALONE = noClasses().that().resideInAPackage("eiderscale.plan").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAnyPackage("eiderscale.config",
            "eiderscale.plan"))).and(DescribedPredicate.not(nameMatching("eiderscale\\.Api(\\$.*)?"))));

    /** Nobody below the hand-over knows of processes that follow one another, nor of whom operators call. */
    @ArchTest
    static final ArchRule NOTHING_BELOW_KNOWS_OF_OPERATORS = noClasses().that().resideInAnyPackage("eiderscale.net", "eiderscale.meta",
            "eiderscale.http..", "eiderscale.knowledge", "eiderscale.maintenance", "eiderscale.values").should()
            .dependOnClassesThat().resideInAnyPackage("eiderscale.handover", "eiderscale.control");

    /** Sockets and virtual time drive one ledger, which knows neither. */
    @ArchTest
    static final ArchRule THE_LEDGER_KNOWS_NO_DRIVER = noClasses().that().resideInAPackage("eiderscale.ledger").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAnyPackage("eiderscale.ledger",
            "eiderscale.connections", "eiderscale.maintenance", "eiderscale.recovery"))).and(DescribedPredicate.not(nameMatching(
            "eiderscale\\.(Api|Learnt)(\\$.*)?"))));

    @ArchTest
    static final ArchRule VALUES_KNOW_NOBODY = noClasses().that().resideInAPackage("eiderscale.values").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAPackage("eiderscale.values"))));

    /** The store keeps bytes under names, and is loaded by nobody on the platform. */
    @ArchTest
    static final ArchRule THE_STORE_KNOWS_NOBODY = noClasses().that().resideInAPackage("eiderscale.store").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAPackage("eiderscale.store"))));

    @ArchTest
    static final ArchRule ONLY_THE_STORE_KNOWS_ITS_ENGINE = noClasses().that().resideOutsideOfPackage("eiderscale.store").should()
            .dependOnClassesThat().resideInAnyPackage("org.h2..");

    @ArchTest
    static final ArchRule THE_PLATFORM_KEEPS_NOTHING_ON_DISK = noClasses().that().resideInAnyPackage("eiderscale.platform",
            "eiderscale.meta", "eiderscale.net", "eiderscale.sim").should().transitivelyDependOnClassesThat()
            .resideInAnyPackage("eiderscale.store", "org.h2..");

    @ArchTest
    static final ArchRule RECOVERY_KNOWS_NOBODY = noClasses().that().resideInAPackage("eiderscale.recovery").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAPackage("eiderscale.recovery"))));

    @ArchTest
    static final ArchRule JOINING_KNOWS_NOBODY = noClasses().that().resideInAPackage("eiderscale.joining").should()
            .dependOnClassesThat(resideInAPackage("eiderscale..").and(DescribedPredicate.not(resideInAPackage("eiderscale.joining"))));

    /** Processes are met from outside: what runs them knows files, the laboratory and stand-ins, and nothing of the sockets inside. */
    @ArchTest
    static final ArchRule THE_FLEET_KNOWS_ITS_PROCESSES_FROM_OUTSIDE = noClasses().that().resideInAPackage("eiderscale.fleet").should()
            .dependOnClassesThat().resideInAnyPackage("eiderscale.net", "eiderscale.meta", "eiderscale.http..", "eiderscale.platform",
            "eiderscale.sidecar", "eiderscale.ledger", "eiderscale.cli");

    @ArchTest
    static final ArchRule ONLY_THE_STORE_KNOWS_CAFFEINE = noClasses().that().doNotHaveSimpleName("Store").should()
            .dependOnClassesThat().resideInAnyPackage("com.github.benmanes..");

    @ArchTest
    static final ArchRule ONLY_THE_READER_KNOWS_TOML = noClasses().that().doNotHaveSimpleName("Reader").should()
            .dependOnClassesThat().resideInAnyPackage("org.tomlj..");

    @ArchTest
    static final ArchRule ONLY_THE_CLI_KNOWS_PICOCLI = noClasses().that().resideOutsideOfPackage("eiderscale.cli")
            .should().dependOnClassesThat().resideInAnyPackage("picocli..");

    /** The rules above can fail: net does use sockets. */
    @ArchTest
    static void theRuleOnIoCanFail(JavaClasses all) {
        assertThrows(AssertionError.class, () -> noClasses().that().resideInAPackage("eiderscale.net").should()
                .dependOnClassesThat(MACHINERY).check(all));
        assertThrows(AssertionError.class, () -> noClasses().that().resideInAPackage("eiderscale.net").should()
                .callMethodWhere(TIME).check(all));
        assertThrows(AssertionError.class, () -> noClasses().that().resideInAPackage("eiderscale.sidecar").should()
                .transitivelyDependOnClassesThat().resideInAnyPackage("org.tomlj..").check(all));
    }
}
